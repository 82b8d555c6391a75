package app

import (
	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/port"
)

// timeoutRetransmission is the number of the SYN retransmission that counts as a
// timeout of the server. The first one can be due to a lost packet. If later ones
// counted too, a single caller behind a broken path would cause several timeouts of
// a server.
const timeoutRetransmission = 2

// newFlowObserver returns a function that converts observations of backend servers by
// flows to health observations and passes them to the sink. Kinds that do not show
// the health of the server are dropped.
func newFlowObserver(sink port.ObservationSink) func(flow.Observation) {
	return func(o flow.Observation) {
		out := health.Observation{Server: o.Server, Unit: health.Connection}
		switch o.Kind {
		case flow.ObservedEstablished, flow.ObservedProgress:
			out.Result = health.Success
		case flow.ObservedSYNRetransmission:
			if o.Retransmissions != timeoutRetransmission {
				return
			}
			out.Result = health.Timeout
		default:
			return
		}
		sink.Observe(out)
	}
}

// requestObserver converts observations of backend servers by requests to health
// observations and passes them to the sink.
type requestObserver struct{ sink port.ObservationSink }

// ObserveServer implements port.HealthObserver.
func (r requestObserver) ObserveServer(o request.Observation) {
	out := health.Observation{Server: o.Server, Unit: health.Request, Latency: o.Latency}
	switch o.Result {
	case request.Success:
		out.Result = health.Success
	case request.Timeout:
		out.Result = health.Timeout
	case request.Shed:
		out.Result = health.Shed
	default:
		out.Result = health.Failure
	}
	r.sink.Observe(out)
}
