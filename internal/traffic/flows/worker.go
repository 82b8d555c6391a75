package flows

import (
	"context"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/port"
)

// worker owns one shard of the flow table.
type worker struct {
	pool     *Pool
	shard    *flow.Shard
	codec    port.FlowCodec
	queue    chan *job
	decision flow.Decision
	sequence uint64
}

func newWorker(p *Pool) *worker {
	o := &p.options
	return &worker{
		pool:  p,
		shard: flow.NewShard(flow.Settings{MaxFlows: max(1, o.MaxFlows/o.Shards)}),
		codec: o.NewCodec(),
		queue: make(chan *job, o.QueueLength),
	}
}

func (w *worker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-w.queue:
			w.handle(j)
			w.pool.jobs.Put(j)
		}
	}
}

func (w *worker) handle(j *job) {
	o := &w.pool.options
	d := &w.decision
	if !j.message.Kind.CarriesPacket() {
		return
	}
	w.shard.Packet(o.Views.View(), o.Clock.Now(), &j.message, d)
	o.Recorder.Count(part, d.Reason)
	switch d.Verb {
	case flow.Deliver:
		out := flow.Message{Kind: flow.KindPacket, Service: d.Service, Inner: j.message.Inner}
		w.send(d, &out)
	case flow.Forward:
		d.Out.Inner, d.Out.Fingerprint = j.message.Inner, j.message.Fingerprint
		w.sequence++
		d.Out.Sequence = w.sequence
		w.send(d, &d.Out)
	}
	if d.Observed.Kind != flow.ObservedNone && o.Observe != nil {
		o.Observe(d.Observed)
	}
}

func (w *worker) send(d *flow.Decision, m *flow.Message) {
	packet, err := w.codec.Encode(d.To, m)
	if err == nil {
		err = w.pool.options.Sender.SendPacket(d.To, packet)
	}
	if err != nil {
		w.pool.options.Recorder.Count(part, reasonOf(err))
	}
}
