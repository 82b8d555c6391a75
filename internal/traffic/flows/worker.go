package flows

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// worker owns one shard of the flow table.
type worker struct {
	pool  *Pool
	shard *flow.Shard
	codec port.FlowCodec
	queue chan *job
	// decision, message and output are reused to avoid allocations for each packet.
	decision flow.Decision
	message  flow.Message
	output   flow.Output

	records, bytes, pending atomic.Int64
}

func newWorker(p *Pool, index int) *worker {
	o := &p.options
	settings := flow.DefaultSettings(o.Shards, o.MaxFlows)
	settings.Index = index
	return &worker{
		pool: p, shard: flow.NewShard(settings), codec: o.NewCodec(), queue: make(chan *job, o.QueueLength),
	}
}

// run handles jobs until the context ends. The timer runs only while the shard
// holds records, so an idle worker blocks on its queue.
func (w *worker) run(ctx context.Context) {
	timer := time.NewTimer(flow.TickInterval)
	defer timer.Stop()
	armed := true
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-w.queue:
			w.handle(j)
			w.pool.jobs.Put(j)
		case <-timer.C:
			w.tick()
			armed = false
		}
		if !armed && w.shard.Len() > 0 {
			timer.Reset(flow.TickInterval)
			armed = true
		}
	}
}

func (w *worker) handle(j *job) {
	o := &w.pool.options
	v, now := o.Views.View(), o.Clock.Now()
	switch {
	case j.records != nil:
		w.shard.StoreRecords(v, now, j.records)
	case j.failed != nil:
		w.shard.BatchFailed(j.failed)
	case j.message.Kind == flow.KindEstablished || j.message.Kind == flow.KindClosed:
		reason, observation := w.shard.HandleFlowState(v, now, &j.message)
		o.Recorder.Count(part, reason)
		w.observe(observation)
	case !j.message.Kind.CarriesPacket():
		o.Recorder.Count(part, w.shard.LearnServer(v, now, &j.message))
	default:
		w.shard.HandlePacket(v, now, &j.message, &w.decision)
		w.execute(&j.message, now)
	}
}

// execute carries out the decision about a message.
func (w *worker) execute(m *flow.Message, now model.Time) {
	o, d := &w.pool.options, &w.decision
	o.Recorder.Count(part, d.Reason)
	switch d.Action {
	case flow.Deliver:
		w.message = flow.Message{Kind: flow.KindPacket, Service: d.Service, Inner: m.Inner}
		w.send(d.To)
	case flow.Forward:
		w.setMessage(&d.ForwardHeader, m.Fingerprint)
		w.message.Inner = m.Inner
		w.send(d.To)
	}
	if d.Notify {
		w.setMessage(&d.NotifyHeader, m.Fingerprint)
		w.send(d.NotifyTo)
	}
	if d.EndReason != model.ReasonNone {
		w.reportEnded(flow.FlowEvent{Fingerprint: m.Fingerprint, Service: d.Service, Reason: d.EndReason}, now)
	}
	w.observe(d.Observed)
}

func (w *worker) observe(observation flow.Observation) {
	if observation.Kind != flow.ObservedNone && w.pool.options.Observe != nil {
		w.pool.options.Observe(observation)
	}
}

// setMessage sets w.message to a message to another instance, without its packet.
func (w *worker) setMessage(h *flow.MessageHeader, fingerprint uint64) {
	w.message = flow.Message{
		Kind: h.Kind, Service: w.decision.Service, Fingerprint: fingerprint, Sender: w.pool.options.Self,
		Sequence: w.pool.sequence.Add(1), Hops: h.Hops, Attempt: h.Attempt, Server: h.Server, Validity: h.Validity,
	}
	if h.Sender.IsValid() {
		w.message.Sender = h.Sender
	}
}

func (w *worker) send(to netip.AddrPort) {
	packet, err := w.codec.Encode(to, &w.message)
	if err == nil {
		err = w.pool.options.Sender.SendPacket(to, packet)
	}
	if err != nil {
		w.pool.options.Recorder.Count(part, reasonOf(err))
	}
}

// tick runs the periodic work of the shard and reports and sends the results.
func (w *worker) tick() {
	o := &w.pool.options
	now := o.Clock.Now()
	w.shard.Tick(o.Views.View(), now, &w.output)
	for _, event := range w.output.Ended {
		w.reportEnded(event, now)
	}
	for _, event := range w.output.Silent {
		o.Recorder.Count(partSilent, event.Reason)
		w.recordDecision("silent", event, now)
	}
	for _, b := range w.output.Batches {
		w.pool.enqueueBatch(w, b)
	}
	w.records.Store(int64(w.shard.Len()))
	w.bytes.Store(int64(w.shard.Bytes()))
	w.pending.Store(int64(w.shard.Pending()))
}

func (w *worker) reportEnded(event flow.FlowEvent, now model.Time) {
	w.pool.options.Recorder.Count(partEnded, event.Reason)
	if event.Reason != model.ReasonIdle {
		w.recordDecision("flow ended", event, now)
	}
}

func (w *worker) recordDecision(detail string, event flow.FlowEvent, now model.Time) {
	w.pool.options.Recorder.Decision(port.Decision{
		At: now, Part: part, Reason: event.Reason, Subject: fmt.Sprintf("flow %016x", event.Fingerprint),
		Detail: fmt.Sprintf("%s: service %d, server number %08x", detail, event.Service, event.Server),
	})
}
