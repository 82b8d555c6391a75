package flows

import (
	"context"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// MethodRecords is the method by which instances send flow records to each other.
const MethodRecords = "flow.records"

// RecordsParams are the parameters of MethodRecords.
type RecordsParams struct {
	// Packed holds the records as port.FlowCodec encodes them.
	Packed []byte `json:"packed"`
}

// RecordsResult is the result of MethodRecords.
type RecordsResult struct {
	// Taken is the number of records that were queued for the workers.
	Taken int `json:"taken"`
}

const (
	// recordsTimeout bounds one call of MethodRecords.
	recordsTimeout = 2 * time.Second
	// batchQueueLength bounds the batches that wait for the sender goroutine.
	batchQueueLength = 64
	// maxRecords bounds the records of one call.
	maxRecords = 4096
)

// queuedBatch is a batch with the worker whose shard it comes from.
type queuedBatch struct {
	worker *worker
	batch  flow.Batch
}

// enqueueBatch queues a batch for the sender goroutine. If the queue is full, the
// shard sends the records again later.
func (p *Pool) enqueueBatch(w *worker, b flow.Batch) {
	if p.options.Peers == nil {
		return
	}
	// The shard reuses the list of batches but not their records.
	select {
	case p.batches <- queuedBatch{w, b}:
	default:
		p.options.Recorder.Count(partRecords, model.ReasonQueueFull)
		w.shard.BatchFailed(&b)
	}
}

// sendBatches sends the queued batches to other instances until the context ends.
func (p *Pool) sendBatches(ctx context.Context) {
	codec := p.options.NewCodec()
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-p.batches:
			p.sendBatch(ctx, codec, q)
		}
	}
}

func (p *Pool) sendBatch(ctx context.Context, codec port.FlowCodec, q queuedBatch) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	var result RecordsResult
	params := RecordsParams{Packed: codec.EncodeRecords(nil, q.batch.Records)}
	err := p.options.Peers.Call(ctx, q.batch.To, MethodRecords, params, &result)
	if err == nil && result.Taken == len(q.batch.Records) {
		p.options.Recorder.Count(partRecords, model.ReasonNone)
		return
	}
	p.options.Recorder.Count(partRecords, model.ReasonPeerUnreachable)
	select {
	case q.worker.queue <- &job{failed: &q.batch}:
	default: // the next refresh sends the records again
	}
}

// HandleRecords handles calls of MethodRecords. It is a port.PeerHandler. Records
// for a worker whose queue is full are dropped and counted.
func (p *Pool) HandleRecords(_ context.Context, _ model.InstanceID, decode func(any) error) (any, error) {
	var params RecordsParams
	if err := decode(&params); err != nil {
		return nil, err
	}
	records, err := p.options.NewCodec().DecodeRecords(params.Packed)
	if err != nil {
		return nil, err
	}
	if len(records) > maxRecords {
		return nil, port.ErrTooLarge
	}
	byShard := make([][]flow.Record, len(p.workers))
	for _, r := range records {
		i := p.shardOf(r.Fingerprint)
		byShard[i] = append(byShard[i], r)
	}
	result := RecordsResult{}
	for i, shardRecords := range byShard {
		if len(shardRecords) == 0 {
			continue
		}
		select {
		case p.workers[i].queue <- &job{records: shardRecords}:
			result.Taken += len(shardRecords)
		default:
			p.options.Recorder.Count(partRecords, model.ReasonQueueFull)
		}
	}
	return result, nil
}
