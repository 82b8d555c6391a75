// Package flows runs the flow workers. Each worker owns one shard of the flow
// table and blocks on its packet channel while it is idle.
//
// An instance sets it up as follows:
//
//	socket, err := geneve.Listen(settings.FlowAddress)
//	pool := flows.New(flows.Options{
//		Shards: 4, QueueLength: 1024, MaxFlows: 1_000_000,
//		Views: control, Clock: clock, Sender: socket, Recorder: metrics,
//		NewCodec: func() port.FlowCodec { return geneve.NewCodec(geneve.Options{Self: socket.Address(), Keys: keys}) },
//		Self: settings.FlowAddress, Incarnation: incarnation, Peers: peers,
//		Observe: observeServer,
//	})
//	peers.Handle(flows.MethodRecords, pool.HandleRecords)
//	go pool.Run(ctx)                              // returns when all workers have ended
//	go socket.Serve(ctx, pool.NewReader().Receive) // one reader per Serve
package flows

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Part labels of the counters.
const (
	// part counts decisions about packets and messages.
	part = "flow"
	// partEnded counts ended flows by reason. A flow that ended for another reason
	// than ReasonIdle is broken.
	partEnded = "flow_ended"
	// partSilent counts established flows whose caller has sent no packets for
	// flow.Settings.SilentAfter.
	partSilent = "flow_silent"
	// partRecords counts batches of flow records for other instances, by result.
	partRecords = "flow_records"
)

// Options configure a Pool. All fields but Observe and Peers are required.
type Options struct {
	// Shards is the number of workers.
	Shards int
	// QueueLength bounds the jobs that wait for one worker.
	QueueLength int
	// MaxFlows bounds the flow records of the instance.
	MaxFlows int

	// Self is the flow address at which other instances reach this one.
	Self netip.AddrPort
	// Incarnation is the start time of the process. Sequence numbers of
	// messages start from it, so that they keep increasing across restarts.
	Incarnation model.Incarnation

	Views    port.ViewReader
	Clock    port.Clock
	Sender   port.PacketSender
	Recorder port.Recorder
	// NewCodec is called once for each worker and reader.
	NewCodec func() port.FlowCodec
	// Observe is called with what flows show about backend servers. It must not
	// block. If it is nil, observations are discarded.
	Observe func(flow.Observation)
	// Peers sends flow records to other instances. If it is nil, none are sent.
	Peers port.PeerCaller
}

// Pool is the set of flow workers of an instance.
type Pool struct {
	options Options
	workers []*worker
	jobs    sync.Pool
	batches chan queuedBatch
	// sequence is the last sequence number of a message to another instance.
	sequence atomic.Uint64
}

// job is one input of a worker: a datagram with the message decoded from it,
// records from another instance, or a batch that could not be sent.
type job struct {
	message flow.Message
	buffer  []byte
	records []flow.Record
	failed  *flow.Batch
}

// Stats are totals over all shards, at most one flow.TickInterval old.
type Stats struct {
	// Records counts own flows, hints and copies; Bytes is their memory.
	Records, Bytes int64
	// Pending counts the exceptions and deletions that wait to be sent. An
	// instance that shuts down may exit once it is 0.
	Pending int64
}

// Stats returns the totals. It is safe for concurrent use.
func (p *Pool) Stats() Stats {
	var s Stats
	for _, w := range p.workers {
		s.Records += w.records.Load()
		s.Bytes += w.bytes.Load()
		s.Pending += w.pending.Load()
	}
	return s
}

// New returns a pool. Run starts its workers.
func New(o Options) *Pool {
	p := &Pool{options: o, batches: make(chan queuedBatch, batchQueueLength)}
	p.sequence.Store(uint64(o.Incarnation))
	p.jobs.New = func() any { return &job{} }
	for i := range o.Shards {
		p.workers = append(p.workers, newWorker(p, i))
	}
	return p
}

// Run runs the workers until the context ends.
func (p *Pool) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, w := range p.workers {
		group.Go(func() { w.run(ctx) })
	}
	if p.options.Peers != nil {
		group.Go(func() { p.sendBatches(ctx) })
	}
	group.Wait()
}

// Reader decodes datagrams and queues them for the workers. It is not safe for
// concurrent use.
type Reader struct {
	pool  *Pool
	codec port.FlowCodec
}

// NewReader returns a reader for one socket.
func (p *Pool) NewReader() *Reader { return &Reader{pool: p, codec: p.options.NewCodec()} }

// Receive decodes a copy of the datagram and queues it for the worker of its
// flow. If the worker's queue is full, the packet is dropped.
func (r *Reader) Receive(datagram []byte) {
	p := r.pool
	j := p.jobs.Get().(*job)
	j.records, j.failed = nil, nil
	j.buffer = append(j.buffer[:0], datagram...)
	if err := r.codec.Decode(j.buffer, &j.message); err != nil {
		p.options.Recorder.Count(part, reasonOf(err))
		p.jobs.Put(j)
		return
	}
	select {
	case p.workers[p.shardOf(j.message.Fingerprint)].queue <- j:
	default:
		p.options.Recorder.Count(part, model.ReasonQueueFull)
		p.jobs.Put(j)
	}
}

// shardOf maps the upper half of a fingerprint evenly to the shards.
func (p *Pool) shardOf(fingerprint uint64) int {
	return int((fingerprint >> 32) * uint64(len(p.workers)) >> 32)
}

func reasonOf(err error) model.Reason {
	switch {
	case errors.Is(err, port.ErrTruncated):
		return model.ReasonTruncated
	case errors.Is(err, port.ErrForged):
		return model.ReasonForged
	case errors.Is(err, port.ErrUnavailable):
		return model.ReasonPeerUnreachable
	default:
		return model.ReasonMalformed
	}
}
