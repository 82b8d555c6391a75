// Package packets runs the traffic goroutine of instances that steer flows by
// tokens: it blocks on the socket, decides about each packet on the newest
// snapshot, and owns all state of the decisions.
package packets

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Names of parts in counters.
const (
	part      = "flow"
	partReset = "flow_reset"
)

// bufferSize holds the headroom and the largest datagram that is not cut off;
// longer ones are malformed in any case.
const bufferSize = 2048

// Options configure a Worker. All are required.
type Options struct {
	Socket    port.PacketSocket
	Codec     port.PacketCodec
	Snapshots port.SnapshotReader
	Suspects  port.SuspectSink
	Clock     port.Clock
	Recorder  port.Recorder
	Log       logr.Logger
	Steerer   *steering.Steerer
}

// Worker owns a socket and the flows that arrive there.
type Worker struct {
	options Options
	buffer  [bufferSize]byte
	reset   [bufferSize]byte
	packet  steering.Packet
	// last is when the last packet arrived, for those that wait until none does.
	last atomic.Int64
	// flows is the number of flow records.
	flows atomic.Int64
}

// New returns a worker that does not run yet.
func New(o Options) *Worker { return &Worker{options: o} }

// LastPacket returns when the last packet arrived.
func (w *Worker) LastPacket() model.Time { return model.Time(w.last.Load()) }

// Flows returns the number of flow records.
func (w *Worker) Flows() int64 { return w.flows.Load() }

// Run handles packets until the context ends, which closes the socket.
func (w *Worker) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = w.options.Socket.Close() })
	defer stop()
	head := w.options.Codec.Headroom()
	for {
		n, err := w.options.Socket.Receive(w.buffer[head:])
		switch {
		case err == nil:
			w.handle(w.buffer[:head+n])
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return ctx.Err()
		default:
			// An error of the socket is that of an earlier packet to a closed port.
			w.options.Recorder.Count(part, model.ReasonSendFailed)
		}
	}
}

// handle decides about one datagram, which lies behind the headroom.
func (w *Worker) handle(buffer []byte) {
	o, p := &w.options, &w.packet
	if err := o.Codec.Decode(buffer[o.Codec.Headroom():], p); err != nil {
		o.Recorder.Count(part, reasonOf(err))
		return
	}
	now := o.Clock.Now()
	w.last.Store(int64(now))
	snapshot := o.Snapshots.Snapshot()
	v := o.Steerer.Decide(snapshot, now, p)
	o.Recorder.Count(part, v.Reason)
	switch v.Action {
	case steering.Deliver:
		w.send(v.Server.Address, o.Codec.Encapsulate(buffer, v.Server, v.Server.Token))
	case steering.Reset:
		o.Recorder.Count(partReset, v.Reason)
		datagram, caller := o.Codec.Reset(w.reset[:], p)
		w.send(caller, datagram)
	}
	w.flows.Store(int64(o.Steerer.Flows()))
	w.observe(&v)
	for suspect := o.Steerer.TakeSuspect(); suspect != nil; suspect = o.Steerer.TakeSuspect() {
		o.Suspects.Suspect(suspect)
	}
	w.log(&v, snapshot, now)
}

// observe records the durations that a packet ends.
func (w *Worker) observe(v *steering.Verdict) {
	if v.Route == nil || v.Server == nil {
		return
	}
	if v.HandshakeTime > 0 {
		w.options.Recorder.Observe("handshake", v.Server.Service, v.Route.Name, v.HandshakeTime)
	}
	if v.ResponseTime > 0 {
		w.options.Recorder.Observe("answer", v.Server.Service, v.Route.Name, v.ResponseTime)
	}
}

func (w *Worker) send(to netip.AddrPort, datagram []byte) {
	if err := w.options.Socket.SendPacket(to, datagram); err != nil {
		w.options.Recorder.Count(part, model.ReasonSendFailed)
	}
}

// log writes a line for each decision that begins, moves or ends a flow, with the
// version of the configuration and the age of the view that it was made on.
func (w *Worker) log(v *steering.Verdict, snapshot *steering.Snapshot, now model.Time) {
	if v.Action == steering.Deliver && !v.NewFlow {
		return
	}
	p := &w.packet
	values := make([]any, 0, 20)
	values = append(values, "caller", p.Key.Caller.AddrPort().String(), "route", p.Key.Route.AddrPort().String(),
		"reason", v.Reason.String(), "copy", p.Retransmission)
	if v.Server != nil {
		values = append(values, "server", v.Server.ID, "zone", v.Server.Zone)
	}
	if snapshot != nil {
		values = append(values, "version", snapshot.Version, "view_ms", now.Sub(snapshot.ConfirmedAt).Milliseconds())
	}
	switch {
	case v.NewFlow:
		w.options.Log.Info("flow placed", append(values, "load", v.Load)...)
	case v.Action == steering.Reset:
		w.options.Log.Info("flow reset", values...)
	default:
		w.options.Log.Info("packet dropped", append(values, "token", uint32(p.Token))...)
	}
}

func reasonOf(err error) model.Reason {
	if errors.Is(err, port.ErrTruncated) {
		return model.ReasonTruncated
	}
	return model.ReasonMalformed
}
