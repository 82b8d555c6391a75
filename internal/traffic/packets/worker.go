// Package packets runs the traffic goroutine of instances that forward flows by tokens. It
// blocks on the socket, decides about each packet with the latest snapshot, and owns all
// state of the decisions.
package packets

import (
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Parts of the system under which packets are counted.
const (
	part          = "flow"
	partReset     = "flow_reset"
	partAdmission = "admission"
	partHedge     = "hedge"
	// partOpen counts the connections that new flows open at servers, by cause.
	partOpen = "flow_open"
)

// bufferSize holds the headroom of the codec and the largest datagram that is received
// whole. Longer datagrams are malformed in any case.
const bufferSize = 2048

const (
	// maxResetsAtOnce limits the flows that are reset because their server is lost before the
	// next packet is received.
	maxResetsAtOnce = 32
	// resetPause is how long the goroutine waits for a packet before it resets further flows.
	resetPause = time.Millisecond
)

// Options configure a Worker. All are required.
type Options struct {
	Socket    port.PacketSocket
	Codec     port.PacketCodec
	Snapshots port.SnapshotReader
	Faults    port.FaultSink
	Loads     port.LoadSink
	Clock     port.Clock
	Recorder  port.Recorder
	Log       logr.Logger
	Steerer   *steering.Steerer
}

// Worker owns a socket and the flows that arrive there.
type Worker struct {
	options Options
	buffer  [bufferSize]byte
	reset   [bufferSize]byte // the reset being sent
	hedge   [bufferSize]byte // the SYN being sent to a second server
	packet  steering.Packet  // the packet being processed
	// lastPacket is when the last well-formed packet arrived. A shutdown waits until none
	// arrive.
	lastPacket atomic.Int64
	// flows is the number of flow records.
	flows     atomic.Int64
	questions chan question
}

// New returns a Worker that is not running yet.
func New(o Options) *Worker {
	return &Worker{options: o, questions: make(chan question, maxQuestions)}
}

// LastPacket returns when the last well-formed packet arrived, or 0 before the first one.
// It can be called from any goroutine.
func (w *Worker) LastPacket() model.Time { return model.Time(w.lastPacket.Load()) }

// Flows returns the number of flow records. It can be called from any goroutine.
func (w *Worker) Flows() int64 { return w.flows.Load() }

// Run processes packets until ctx ends, which closes the socket, and returns the error of
// ctx.
func (w *Worker) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = w.options.Socket.Close() })
	defer stop()
	o, headroom := &w.options, w.options.Codec.Headroom()
	for {
		n, err := o.Socket.Receive(w.buffer[headroom:])
		switch {
		case err == nil:
			w.handle(w.buffer[:headroom+n])
		case errors.Is(err, port.ErrWoken):
			w.answerQuestions()
			w.resetLostFlows(o.Snapshots.Snapshot(), o.Clock.Now())
			w.reportFaults()
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return ctx.Err()
		default:
			// The socket reports an earlier packet that was sent to a closed port.
			o.Recorder.Count(part, model.ReasonSendFailed)
		}
	}
}

// handle decides about one datagram. The buffer starts with the headroom.
func (w *Worker) handle(buffer []byte) {
	o, p := &w.options, &w.packet
	if err := o.Codec.Decode(buffer[o.Codec.Headroom():], p); err != nil {
		o.Recorder.Count(part, reasonOf(err))
		return
	}
	now := o.Clock.Now()
	w.lastPacket.Store(int64(now))
	snapshot := o.Snapshots.Snapshot()
	decision := o.Steerer.Decide(snapshot, now, p)
	o.Recorder.Count(part, decision.Reason)
	if decision.Admission != model.ReasonNone {
		o.Recorder.Count(partAdmission, decision.Admission)
	}
	switch decision.Action {
	case steering.Deliver:
		if decision.NewFlow {
			o.Recorder.Count(partOpen, openingCause(&decision, p))
			o.Steerer.KeepSYN(p, buffer[o.Codec.Headroom():], now)
		}
		w.send(decision.Server.Address, o.Codec.Encapsulate(buffer, decision.Server, decision.Server.Token))
	case steering.Reset:
		o.Recorder.Count(partReset, decision.Reason)
		datagram, caller := o.Codec.Reset(w.reset[:], p, decision.Reason)
		w.send(caller, datagram)
	}
	w.flows.Store(int64(o.Steerer.Flows()))
	w.observe(&decision)
	w.reportFaults()
	if report := o.Steerer.TakeReport(now); report != nil {
		o.Loads.ReportLoad(report)
	}
	w.log(&decision, snapshot, now)
	for r, ok := o.Steerer.TakeShortage(); ok; r, ok = o.Steerer.TakeShortage() {
		w.logShortage(&r)
	}
	w.resetLostFlows(snapshot, now)
	w.hedgeOpenings(now)
}

// reportFaults reports what the packets showed about servers.
func (w *Worker) reportFaults() {
	o := &w.options
	for suspect, at := o.Steerer.TakeSuspect(); suspect != nil; suspect, at = o.Steerer.TakeSuspect() {
		o.Faults.Suspect(suspect, at)
	}
	for token := o.Steerer.TakeUnknownToken(); token != 0; token = o.Steerer.TakeUnknownToken() {
		o.Faults.UnknownToken(token)
	}
}

// hedgeOpenings sends the SYNs that are due to second servers and counts how hedged openings
// ended.
func (w *Worker) hedgeOpenings(now model.Time) {
	o := &w.options
	for h, ok := o.Steerer.TakeHedge(now); ok; h, ok = o.Steerer.TakeHedge(now) {
		o.Recorder.Count(partHedge, h.Reason)
		if h.Server == nil {
			continue
		}
		headroom := o.Codec.Headroom()
		n := copy(w.hedge[headroom:], h.SYN())
		w.send(h.Server.Address, o.Codec.Encapsulate(w.hedge[:headroom+n], h.Server, h.Server.Token))
		o.Log.Info("flow hedged", "caller", h.Key.Caller.AddrPort().String(), "route", h.Key.Route.AddrPort().String(),
			"server", h.Server.ID, "zone", h.Server.Zone)
	}
}

// openingCause returns why a SYN is sent to the server of a decision: for a new flow, as a copy
// of one that another server may have received, or as a trial of a server that a probe did not
// reach.
func openingCause(decision *steering.Decision, p *steering.Packet) model.Reason {
	switch server := decision.Server; {
	case server.ProbeFailed() || server.ProbingSince != 0:
		return model.ReasonTrial
	case p.Retransmissions > 0 || decision.Reason == model.ReasonAlternative:
		return model.ReasonAlternative
	default:
		return model.ReasonLeastLoad
	}
}

// logShortage writes a line about a service that is short of capacity, with the inputs of the
// latest verdict.
func (w *Worker) logShortage(r *steering.Shortage) {
	in := &r.Inputs
	w.options.Log.Info("capacity shortage "+string(r.State), "service", r.Service, "in_progress", math.Round(in.InProgress), "slots", in.Slots,
		"completed_per_s", math.Round(in.CompletedPerSecond), "base_ms", in.BaseLatency.Milliseconds(), "limit", math.Round(in.Limit),
		"share", math.Round(10*in.Share)/10, "own", in.Own, "view_ms", in.ViewAge.Milliseconds(),
		"admitted", r.Counts[model.ReasonAdmitted], "other_zone", r.Counts[model.ReasonOtherZone], "reserve", r.Counts[model.ReasonReserve],
		"held", r.Counts[model.ReasonHeld], "overloaded", r.Counts[model.ReasonOverloaded])
}

// resetLostFlows resets flows whose server cannot continue them, at most maxResetsAtOnce so that
// packets don't wait for long. The others follow after the next packet or after resetPause, because
// what justifies the resets may be over when the next packet arrives.
func (w *Worker) resetLostFlows(snapshot *steering.Snapshot, now model.Time) {
	o := &w.options
	if !o.Steerer.HasResets() {
		return
	}
	for range maxResetsAtOnce {
		p, ok := o.Steerer.TakeReset(snapshot, now)
		if !ok {
			break
		}
		w.packet = p
		decision := steering.Decision{Action: steering.Reset, Reason: model.ReasonServerFailed, Server: snapshot.Servers.Find(p.Token)}
		o.Recorder.Count(partReset, decision.Reason)
		datagram, caller := o.Codec.Reset(w.reset[:], &p, decision.Reason)
		w.send(caller, datagram)
		w.log(&decision, snapshot, now)
	}
	if o.Steerer.HasResets() {
		if err := o.Socket.WakeAfter(resetPause); err != nil {
			o.Recorder.Count(part, model.ReasonSendFailed) // the next packet continues
		}
	}
	w.flows.Store(int64(o.Steerer.Flows()))
}

// observe records the handshake or response time that a packet completes.
func (w *Worker) observe(decision *steering.Decision) {
	if decision.Route == nil || decision.Server == nil {
		return
	}
	if decision.HandshakeTime > 0 {
		w.options.Recorder.Observe("handshake", decision.Server.Service, decision.Route.Name, decision.HandshakeTime)
	}
	if decision.ResponseTime > 0 {
		w.options.Recorder.Observe("answer", decision.Server.Service, decision.Route.Name, decision.ResponseTime)
	}
}

func (w *Worker) send(to netip.AddrPort, datagram []byte) {
	if err := w.options.Socket.SendPacket(to, datagram); err != nil {
		w.options.Recorder.Count(part, model.ReasonSendFailed)
	}
}

// log writes a line if a server was selected for a flow, or if the packet was dropped or
// answered with a reset. Flows that admission control held or refused are left out: they are many, and
// logShortage states their number. The line has the version of the configuration and the age of the
// snapshot, and for a reset what is known of the server.
func (w *Worker) log(decision *steering.Decision, snapshot *steering.Snapshot, now model.Time) {
	if decision.Action == steering.Deliver && !decision.NewFlow || decision.Reason == model.ReasonHeld || decision.Reason == model.ReasonOverloaded {
		return
	}
	p := &w.packet
	values := make([]any, 0, 26)
	values = append(values, "caller", p.Key.Caller.AddrPort().String(), "route", p.Key.Route.AddrPort().String(),
		"reason", decision.Reason.String(), "copy", p.Retransmissions)
	if decision.Server != nil {
		values = append(values, "server", decision.Server.ID, "zone", decision.Server.Zone)
	}
	if snapshot != nil {
		values = append(values, "version", snapshot.Version, "view_ms", now.Sub(snapshot.ConfirmedAt).Milliseconds())
	}
	switch {
	case decision.NewFlow:
		w.options.Log.Info("flow placed", append(append(values, "load", decision.Load), placementValues(decision.Placement)...)...)
	case decision.Action == steering.Reset:
		w.options.Log.Info("flow reset", append(values, serverEvidence(decision.Server, snapshot, now)...)...)
	default:
		w.options.Log.Info("packet dropped", append(values, "token", uint32(p.Token))...)
	}
}

// placementValues returns log values of what was known of the server when a flow was placed.
func placementValues(p *steering.Placement) []any {
	if p == nil {
		return nil
	}
	return []any{"in_progress", p.InProgress, "relative_time", p.RelativeTime, "samples", p.Samples, "failed_share", p.FailedShare,
		"trial", p.Failing}
}

// serverEvidence returns log values that show why the flows of a server are reset: the result
// and the age of its last probe, and whether its entry is missing or its run has ended.
func serverEvidence(server *steering.Server, snapshot *steering.Snapshot, now model.Time) []any {
	if server == nil {
		return nil
	}
	values := []any{"probe", server.ProbeResult.String()}
	if server.ProbeSentAt != 0 {
		values = append(values, "probe_ms_ago", now.Sub(server.ProbeSentAt).Milliseconds())
	}
	return append(values, "unlisted", server.Unlisted(), "ended", server.HasEnded(now, &snapshot.Availability))
}

func reasonOf(err error) model.Reason {
	if errors.Is(err, port.ErrTruncated) {
		return model.ReasonTruncated
	}
	return model.ReasonMalformed
}
