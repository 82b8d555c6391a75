package request_test

import (
	"fmt"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
)

// simServer simulates a backend server.
type simServer struct {
	model.Server
	running, peak int
	// capacity is the number of concurrent requests above which the server sheds.
	capacity int
	service  func() time.Duration
	silent   bool
	down     bool
	runs     map[int]int // by operation
	ran      []runRecord
}

type runRecord struct {
	op      int
	key     string
	attempt int
}

// receive handles the arrival of a request and calls reply with the result. The
// returned function cancels the request.
func (srv *simServer) receive(s *sim, r *simRequest, reply func(request.DispatchEnded, time.Duration)) (cancel func()) {
	const replyDelay = 200 * time.Microsecond
	if srv.down { // crashed after the connection was opened
		reply(request.DispatchEnded{Result: request.ConnectionBroken}, replyDelay)
		return func() {}
	}
	if srv.running >= srv.capacity {
		reply(request.DispatchEnded{Result: request.ShedByServer}, replyDelay)
		return func() {}
	}
	srv.running++
	srv.peak = max(srv.peak, srv.running)
	srv.runs[r.op]++
	srv.ran = append(srv.ran, runRecord{r.op, r.key, r.attempt})
	running := true
	cancel = func() {
		if running {
			running = false
			srv.running--
		}
	}
	s.at(srv.service(), func() {
		if !running {
			return
		}
		cancel()
		if srv.down { // crashed after it ran the request and before the answer arrived
			reply(request.DispatchEnded{Result: request.ConnectionBroken}, replyDelay)
		} else if !srv.silent {
			answer := &request.StoredAnswer{Status: 200, Body: []byte(fmt.Sprint(r.op))}
			reply(request.DispatchEnded{Result: request.Answered, Status: 200, Answer: answer}, replyDelay)
		}
	})
	return cancel
}

// simConfig returns a configuration with one service that has two classes.
func simConfig(zones []model.Zone, serversPerZone int, slots uint16) *model.Configuration {
	svc := model.Service{
		ID: 17, Name: "line-control", Tenant: "factory", Host: "line", RequestTimeout: time.Second, MaxBody: 1 << 20,
		Kinds: []model.RequestKind{
			{Name: "check", Method: "POST", Class: "writes", Share: 50},
			{Name: "status", Method: "GET", Idempotent: true, Class: "reads", Share: 50},
		},
	}
	for _, z := range zones {
		for i := range serversPerZone {
			svc.Servers = append(svc.Servers, model.Server{
				ID: model.ServerID(fmt.Sprintf("line-%s-%d", z, i+1)), Zone: z, Weight: 100, Slots: slots,
			})
		}
	}
	return &model.Configuration{Version: 1, Services: []model.Service{svc}}
}
