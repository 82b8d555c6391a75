package flows

import (
	"context"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// MethodRecords is the method by which instances hand flow records over.
const MethodRecords = "flow.records"

// RecordsParams are the parameters of MethodRecords.
type RecordsParams struct {
	// Packed holds the records as port.FlowCodec encodes them.
	Packed []byte `json:"packed"`
}

// RecordsResult is the result of MethodRecords.
type RecordsResult struct {
	// Taken is the number of records that were passed on to the workers.
	Taken int `json:"taken"`
}

const (
	// recordsTimeout bounds one call of MethodRecords.
	recordsTimeout = 2 * time.Second
	// batchQueue bounds the batches that wait for the sender goroutine.
	batchQueue = 64
	// maxRecords bounds the records of one call.
	maxRecords = 4096
)

// posted is a batch with the worker whose shard it comes from.
type posted struct {
	worker *worker
	batch  flow.Batch
}

// post passes a batch on to the sender goroutine. If its queue is full, the
// worker sends the records again later.
func (p *Pool) post(w *worker, b flow.Batch) {
	if p.options.Peers == nil {
		return
	}
	// The shard reuses the list of batches but not their records.
	select {
	case p.batches <- posted{w, b}:
	default:
		p.options.Recorder.Count(partRecords, model.ReasonQueueFull)
		w.shard.BatchFailed(&b)
	}
}

// sendBatches calls other instances until the context ends.
func (p *Pool) sendBatches(ctx context.Context) {
	codec := p.options.NewCodec()
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-p.batches:
			p.sendBatch(ctx, codec, x)
		}
	}
}

func (p *Pool) sendBatch(ctx context.Context, codec port.FlowCodec, x posted) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	var result RecordsResult
	params := RecordsParams{Packed: codec.EncodeRecords(nil, x.batch.Records)}
	err := p.options.Peers.Call(ctx, x.batch.To, MethodRecords, params, &result)
	if err == nil && result.Taken == len(x.batch.Records) {
		p.options.Recorder.Count(partRecords, model.ReasonNone)
		return
	}
	p.options.Recorder.Count(partRecords, model.ReasonPeerUnreachable)
	select {
	case x.worker.queue <- &job{failed: &x.batch}:
	default: // the next refresh sends the records again
	}
}

// HandleRecords answers calls of MethodRecords. It is a port.PeerHandler.
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
	shards := make([][]flow.Record, len(p.workers))
	for _, r := range records {
		i := p.shardOf(r.Fingerprint)
		shards[i] = append(shards[i], r)
	}
	result := RecordsResult{}
	for i, part := range shards {
		if len(part) == 0 {
			continue
		}
		select {
		case p.workers[i].queue <- &job{records: part}:
			result.Taken += len(part)
		default:
			p.options.Recorder.Count(partRecords, model.ReasonQueueFull)
		}
	}
	return result, nil
}
