package peerudp

import (
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// wireLoad is the encoding of peer.LoadReport. Its entries are packed into byte strings in network
// byte order, because the same as CBOR arrays is twice as long.
type wireLoad struct {
	_           struct{} `cbor:",toarray"`
	Scope       uint8
	Origin      string
	Incarnation uint64
	Sequence    uint64
	IntervalMs  uint32
	Instances   int
	// Names holds the services and zones to which the entries refer.
	Names []string
	// Zones alternates between the index of a zone in Names and its number of instances.
	Zones []int
	// Classes holds, for each class, the indexes of its service and zone, the priority and a mask, one
	// byte each. For each bit of the mask, from the lowest, a number follows in two bytes: the
	// requests in progress, the arrivals, completed, failed and refused requests and the mean
	// response time in milliseconds. The others are 0.
	Classes []byte
	// Servers holds, for each server, its token in four bytes, the requests in progress and the
	// samples in two bytes each, and the failed share in units of 1/255 and the mean log latency
	// in units of 1/logLatencyUnits in one byte each.
	Servers []byte
}

const (
	classHeadBytes  = 4
	classAmounts    = 6
	serverLoadBytes = 4 + 2*2 + 2
	// logLatencyUnits makes a byte hold ratios from 1/50 to 50 with steps of 3 %.
	logLatencyUnits = 32
	// maxNames is the number of names that an index of one byte can distinguish.
	maxNames = 256
	// maxInstances limits the number of instances that a report may state.
	maxInstances = 1 << 20
)

// An amount has an exponent of 5 bits and a mantissa of 11 bits: m x 2^(e-amountBias), so that sums
// over thousands of instances with a small load each are as precise as large loads, to 0.1 %.
const (
	mantissaBits = 11
	amountBias   = 20
	maxExponent  = 31
	maxAmount    = (1<<mantissaBits - 1) << (maxExponent - amountBias)
)

// appendAmount appends a number of at least 0 in two bytes. Numbers out of range are limited.
func appendAmount(b []byte, v float64) []byte {
	if !(v > 0) {
		return append(b, 0, 0)
	}
	v = min(v, maxAmount)
	_, exponent := math.Frexp(v)
	e := min(max(exponent-mantissaBits+amountBias, 0), maxExponent)
	m := math.Round(math.Ldexp(v, amountBias-e))
	if m >= 1<<mantissaBits {
		e++ // rounded up to the next power of two
		m = math.Round(math.Ldexp(v, amountBias-e))
	}
	return binary.BigEndian.AppendUint16(b, uint16(e)<<mantissaBits|uint16(m))
}

func amount(b []byte) float64 {
	v := binary.BigEndian.Uint16(b)
	return math.Ldexp(float64(v&(1<<mantissaBits-1)), int(v>>mantissaBits)-amountBias)
}

// appendCounters appends the mask of the counters that are not 0 and these counters.
func appendCounters(b []byte, c *room.Counters) []byte {
	mask := len(b)
	b = append(b, 0)
	for i, v := range [classAmounts]float64{c.InProgress, c.Arrivals, c.Completed, c.Failed, c.Refused, float64(c.MeanLatency()) / float64(time.Millisecond)} {
		if v > 0 {
			b[mask] |= 1 << i
			b = appendAmount(b, v)
		}
	}
	return b
}

// counters decodes the result of appendCounters and returns the bytes that follow it. ok is false
// if b is too short.
func counters(b []byte) (c room.Counters, rest []byte, ok bool) {
	mask, b := b[0], b[1:]
	if mask>>classAmounts != 0 || len(b) < 2*bits.OnesCount8(mask) {
		return c, nil, false
	}
	var values [classAmounts]float64
	for i := range values {
		if mask>>i&1 != 0 {
			values[i], b = amount(b), b[2:]
		}
	}
	c = room.Counters{InProgress: values[0], Arrivals: values[1], Completed: values[2], Failed: values[3], Refused: values[4]}
	c.Latency = time.Duration(values[5] * c.Completed * float64(time.Millisecond))
	return c, b, true
}

// nameIndex returns the index of a name and adds it if necessary.
func (w *wireLoad) nameIndex(name string) int {
	i := slices.Index(w.Names, name)
	if i < 0 {
		i = len(w.Names)
		w.Names = append(w.Names, name)
	}
	return i
}

func newWireLoad(l *peer.LoadReport) (*wireLoad, error) {
	r := l.Report
	w := &wireLoad{Scope: uint8(l.Scope), Origin: string(l.Origin.ID), Incarnation: uint64(l.Origin.Incarnation),
		Sequence: r.Sequence, IntervalMs: uint32(r.Interval.Milliseconds()), Instances: r.Instances}
	for zone, n := range r.Zones {
		w.Zones = append(w.Zones, w.nameIndex(string(zone)), n)
	}
	for class, c := range r.Classes {
		w.Classes = append(w.Classes, byte(w.nameIndex(class.Service)), byte(w.nameIndex(string(class.Zone))), class.Priority)
		w.Classes = appendCounters(w.Classes, &c)
	}
	if len(w.Names) > maxNames {
		return nil, merry.Errorf("load report with %d names", len(w.Names))
	}
	for token, s := range r.Servers {
		w.Servers = binary.BigEndian.AppendUint32(w.Servers, token)
		w.Servers = appendAmount(appendAmount(w.Servers, s.InProgress), s.Samples)
		failed, logLatency := 0.0, 0.0
		if s.Samples > 0 {
			failed = min(s.Failed/s.Samples, 1)
		}
		if answered := s.Samples - s.Failed; answered > 0 {
			logLatency = s.LogLatency / answered
		}
		w.Servers = append(w.Servers, byte(math.Round(failed*math.MaxUint8)),
			byte(int8(math.Round(min(max(logLatency*logLatencyUnits, math.MinInt8), math.MaxInt8)))))
	}
	return w, nil
}

func (w *wireLoad) report() (*peer.LoadReport, error) {
	if !peer.Scope(w.Scope).Valid() || w.Origin == "" || w.Instances < 0 || w.Instances > maxInstances || len(w.Zones)%2 != 0 ||
		len(w.Servers)%serverLoadBytes != 0 {
		return nil, merry.Errorf("load report of %q with scope %d and %d instances", w.Origin, w.Scope, w.Instances)
	}
	r := &room.Report{Sequence: w.Sequence, Interval: time.Duration(w.IntervalMs) * time.Millisecond, Instances: w.Instances}
	l := &peer.LoadReport{Scope: peer.Scope(w.Scope), Origin: room.Sender{ID: model.InstanceID(w.Origin), Incarnation: model.Incarnation(w.Incarnation)}, Report: r}
	if len(w.Zones) > 0 {
		r.Zones = map[model.Zone]int{}
	}
	for i := 0; i < len(w.Zones); i += 2 {
		index, n := w.Zones[i], w.Zones[i+1]
		if index < 0 || index >= len(w.Names) || n < 0 || n > maxInstances {
			return nil, merry.Errorf("load report with zone index %d and %d instances", index, n)
		}
		r.Zones[model.Zone(w.Names[index])] = n
	}
	r.Classes = map[room.Class]room.Counters{}
	for b := w.Classes; len(b) > 0; {
		if len(b) < classHeadBytes || int(max(b[0], b[1])) >= len(w.Names) {
			return nil, merry.Errorf("load report with an invalid class and %d names", len(w.Names))
		}
		class := room.Class{Service: w.Names[b[0]], Zone: model.Zone(w.Names[b[1]]), Priority: b[2]}
		c, rest, ok := counters(b[3:])
		if !ok {
			return nil, merry.Errorf("load report with invalid counters of %s", class.Service)
		}
		r.Classes[class], b = c, rest
	}
	r.Servers = make(map[uint32]room.ServerLoad, len(w.Servers)/serverLoadBytes)
	for b := w.Servers; len(b) > 0; b = b[serverLoadBytes:] {
		s := room.ServerLoad{Token: binary.BigEndian.Uint32(b), InProgress: amount(b[4:]), Samples: amount(b[6:])}
		s.Failed = s.Samples * float64(b[8]) / math.MaxUint8
		s.LogLatency = (s.Samples - s.Failed) * float64(int8(b[9])) / logLatencyUnits
		r.Servers[s.Token] = s
	}
	return l, nil
}
