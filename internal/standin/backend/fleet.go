package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/standin/deployment"
	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

// commandEvent changes the condition of the servers that match.
type commandEvent struct {
	server, zone, command string
	reply                 chan error
}

type addEvent struct {
	service string
	reply   chan addReply
}

type addReply struct {
	document wire.Server
	err      error
}

type serversEvent struct{ reply chan []*Server }

// Fleet is the set of servers in this process. Its control goroutine owns the
// set and is the only one that publishes conditions.
type Fleet struct {
	deployment *deployment.Deployment
	seed       uint64
	servers    []*Server
	events     chan any
}

// NewFleet starts the servers of a deployment.
func NewFleet(ctx context.Context, d *deployment.Deployment, seed uint64) (*Fleet, error) {
	f := &Fleet{deployment: d, seed: seed, events: make(chan any, 64)}
	for i := range d.Services {
		for _, document := range d.ServerDocuments(&d.Services[i]) {
			if err := f.start(ctx, &d.Services[i], document); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, service *deployment.Service, document wire.Server) error {
	server, err := Start(ctx, service, document, f.seed+uint64(len(f.servers)))
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	return nil
}

// Note returns the first release note: the complete configuration.
func (f *Fleet) Note() *wire.Note {
	note := &wire.Note{Format: 1, Version: 1}
	for i := range f.deployment.Services {
		note.Added.Services = append(note.Added.Services, f.deployment.Services[i].ServiceDocument())
	}
	for _, server := range f.servers {
		note.Added.Servers = append(note.Added.Servers, server.Document)
	}
	return note
}

// Run is the control goroutine. It returns when the context ends.
func (f *Fleet) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-f.events:
			switch e := e.(type) {
			case commandEvent:
				e.reply <- f.command(e)
			case addEvent:
				document, err := f.add(ctx, e.service)
				e.reply <- addReply{document, err}
			case serversEvent:
				e.reply <- append([]*Server{}, f.servers...)
			}
		}
	}
}

func (f *Fleet) command(e commandEvent) error {
	matched := 0
	for _, server := range f.servers {
		if e.server != "" && server.Document.ID != e.server || e.zone != "" && server.Document.Zone != e.zone {
			continue
		}
		matched++
		next, err := server.conditions.load().apply(e.command, time.Now())
		if err != nil {
			return err
		}
		server.conditions.current.Store(&next)
	}
	if matched == 0 {
		return merry.Errorf("no server matches server %q, zone %q", e.server, e.zone)
	}
	return nil
}

// add starts one more server of a service. It starts cold.
func (f *Fleet) add(ctx context.Context, name string) (wire.Server, error) {
	for i := range f.deployment.Services {
		service := &f.deployment.Services[i]
		if service.Name != name {
			continue
		}
		index := 0
		for _, server := range f.servers {
			if server.service == service {
				index++
			}
		}
		if err := f.start(ctx, service, f.deployment.Server(service, index)); err != nil {
			return wire.Server{}, err
		}
		added := f.servers[len(f.servers)-1]
		added.conditions.current.Store(&Condition{Cold: time.Now(), Announced: true})
		return added.Document, nil
	}
	return wire.Server{}, merry.Errorf("unknown service %q", name)
}

// Handler serves the control endpoint of the fleet.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		reply := make(chan []*Server, 1)
		f.events <- serversEvent{reply}
		var records []Record
		for _, server := range <-reply {
			records = append(records, server.Record())
		}
		_ = json.NewEncoder(w).Encode(records)
	})
	mux.HandleFunc("POST /command", func(w http.ResponseWriter, r *http.Request) {
		reply := make(chan error, 1)
		f.events <- commandEvent{r.FormValue("server"), r.FormValue("zone"), r.FormValue("do"), reply}
		if err := <-reply; err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("POST /add", func(w http.ResponseWriter, r *http.Request) {
		reply := make(chan addReply, 1)
		f.events <- addEvent{r.FormValue("service"), reply}
		added := <-reply
		if added.err != nil {
			http.Error(w, added.err.Error(), http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(added.document)
	})
	return mux
}
