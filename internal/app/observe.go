package app

import (
	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/port"
)

// observeFlows converts what flows show about backend servers to the
// observations that control takes.
func observeFlows(sink port.ObservationSink) func(flow.Observation) {
	return func(o flow.Observation) {
		out := health.Observation{Server: o.Server, Unit: health.Connection}
		switch o.Kind {
		case flow.ObservedEstablished, flow.ObservedProgress:
			out.Kind = health.Success
		case flow.ObservedSYNRetransmission:
			out.Kind = health.Timeout
		default:
			return
		}
		sink.Observe(out)
	}
}

// requestObserver converts what requests show about backend servers.
type requestObserver struct{ sink port.ObservationSink }

// ObserveServer implements port.HealthObserver.
func (r requestObserver) ObserveServer(o request.Observation) {
	out := health.Observation{Server: o.Server, Unit: health.Request, Latency: o.Latency}
	switch o.Result {
	case request.Success:
		out.Kind = health.Success
	case request.Timeout:
		out.Kind = health.Timeout
	case request.Shed:
		out.Kind = health.Shed
	default:
		out.Kind = health.Failure
	}
	r.sink.Observe(out)
}
