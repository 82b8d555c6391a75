package health

import (
	"slices"
	"strings"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// Record is the state of a server that the instances of a zone exchange. A record
// of a higher epoch replaces one of a lower epoch; records of the same epoch are
// merged.
type Record struct {
	Server model.ServerID
	Epoch  uint32
	// Warm and WarmFlows are set if the server carries its full load of requests
	// and of flows.
	Warm      bool
	WarmFlows bool
	Draining  bool
}

// recordHash returns the contribution of a record to Table.hash. It is 0 for epoch 0,
// the initial state, which is not sent to other instances.
func recordHash(r *Record) uint64 {
	if r.Epoch == 0 {
		return 0
	}
	flags := uint64(r.Epoch) << 3
	if r.WarmFlows {
		flags |= 4
	}
	if r.Warm {
		flags |= 1
	}
	if r.Draining {
		flags |= 2
	}
	return placement.Mix(placement.HashString(string(r.Server)), flags)
}

// Hash returns a hash of all records. Instances compare it to detect that their
// records differ.
func (t *Table) Hash() uint64 { return t.hash }

// rehash calls change, which modifies the server's record, and updates the hash.
func (t *Table) rehash(s *server, change func()) {
	t.hash -= recordHash(&s.record)
	change()
	t.hash += recordHash(&s.record)
}

// update replaces the record of a server and queues it for sending.
func (t *Table) update(s *server, r Record) {
	t.rehash(s, func() { s.record = r })
	s.sendCount = 0
	if !s.queued && len(t.queue) < maxQueue {
		s.queued = true
		t.queue = append(t.queue, r.Server)
	}
	t.changed = true
}

// Merge applies records received from other instances.
func (t *Table) Merge(now model.Time, records []Record) {
	for _, r := range records {
		s, ok := t.servers[r.Server]
		if !ok || s.withdrawn || r.Epoch < s.record.Epoch {
			continue
		}
		if r.Epoch == s.record.Epoch {
			r = r.mergeWith(s.record)
		}
		if r == s.record {
			continue
		}
		turnedCold := s.record.Warm && !r.Warm || s.record.WarmFlows && !r.WarmFlows
		t.update(s, r)
		if turnedCold {
			s.clearObservations()
			s.holdDownUntil = now.Add(ColdHoldDown)
		}
	}
}

// Records returns up to MaxRecords records to send with the next message, the
// least sent ones first. This instance sends each record limit times.
func (t *Table) Records(limit int) []Record {
	var out []Record
	slices.SortStableFunc(t.queue, func(a, b model.ServerID) int { return t.sendCount(a) - t.sendCount(b) })
	for i := 0; i < len(t.queue) && len(out) < MaxRecords; i++ {
		if s, ok := t.servers[t.queue[i]]; ok {
			s.sendCount++
			out = append(out, s.record)
		}
	}
	t.queue = slices.DeleteFunc(t.queue, func(id model.ServerID) bool {
		s, ok := t.servers[id]
		if ok && s.sendCount < limit {
			return false
		}
		if ok {
			s.queued = false
		}
		return true
	})
	return out
}

func (t *Table) sendCount(id model.ServerID) int {
	if s, ok := t.servers[id]; ok {
		return s.sendCount
	}
	return 0
}

// HasUrgentRecords reports whether a queued record has been sent less than half as often as
// limit, so that few instances have received it.
func (t *Table) HasUrgentRecords(limit int) bool {
	return slices.ContainsFunc(t.queue, func(id model.ServerID) bool { return t.sendCount(id) < limit/2 })
}

// All returns all records with an epoch above 0, sorted by server.
func (t *Table) All() []Record {
	var out []Record
	for _, s := range t.servers {
		if s.record.Epoch > 0 {
			out = append(out, s.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return out
}
