package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/standin/deployment"
	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

// commandEvent changes the condition of the servers that match; an empty server
// or zone matches all.
type commandEvent struct {
	server, zone, command string
	reply                 chan error
}

// noteEvent requests a release note with the named changes. The conditions of
// the servers change in the same step, so that the records use the time of the note.
type noteEvent struct {
	version uint64
	// add names services that get one more server, drain and withdraw name servers,
	// zoneOut and zoneIn name zones.
	add, drain, withdraw, zoneOut, zoneIn []string
	reply                                 chan noteReply
}

type noteReply struct {
	note *wire.Note
	err  error
}

type serversEvent struct{ reply chan []*Server }

// ServerSet is the set of backend servers in this process. Its control goroutine owns
// the set and is the only one that publishes conditions.
type ServerSet struct {
	deployment *deployment.Deployment
	seed       uint64
	servers    []*Server
	events     chan any
}

// NewServerSet starts all servers of a deployment. They run until the context ends.
func NewServerSet(ctx context.Context, d *deployment.Deployment, seed uint64) (*ServerSet, error) {
	s := &ServerSet{deployment: d, seed: seed, events: make(chan any, 64)}
	for i := range d.Services {
		for _, document := range d.ServerDocuments(&d.Services[i]) {
			if err := s.startServer(ctx, &d.Services[i], document); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

func (s *ServerSet) startServer(ctx context.Context, service *deployment.Service, document wire.Server) error {
	server, err := Start(ctx, service, document, s.seed+uint64(len(s.servers)))
	if err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	return nil
}

// InitialNote returns the first release note, which holds the complete configuration.
func (s *ServerSet) InitialNote() *wire.Note {
	note := &wire.Note{Format: 1, Version: 1}
	for i := range s.deployment.Services {
		note.Added.Services = append(note.Added.Services, s.deployment.Services[i].ServiceDocument())
	}
	for _, server := range s.servers {
		note.Added.Servers = append(note.Added.Servers, server.Document)
	}
	return note
}

// Run is the control goroutine. It returns when the context ends.
func (s *ServerSet) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			switch e := e.(type) {
			case commandEvent:
				e.reply <- s.applyCommand(e.server, e.zone, e.command)
			case noteEvent:
				note, err := s.buildNote(ctx, e)
				e.reply <- noteReply{note, err}
			case serversEvent:
				e.reply <- append([]*Server{}, s.servers...)
			}
		}
	}
}

// buildNote applies the changes of the event and returns the release note that
// announces them.
func (s *ServerSet) buildNote(ctx context.Context, e noteEvent) (*wire.Note, error) {
	note := &wire.Note{Format: 1, Version: e.version, Base: e.version - 1}
	note.Withdrawn = wire.Withdrawals{Zones: e.zoneOut, Servers: e.withdraw}
	note.Added.Zones = e.zoneIn
	for _, service := range e.add {
		document, err := s.addServer(ctx, service)
		if err != nil {
			return nil, err
		}
		note.Added.Servers = append(note.Added.Servers, document)
	}
	for _, id := range append(slices.Clone(e.drain), e.withdraw...) {
		if err := s.applyCommand(id, "", "drain"); err != nil {
			return nil, err
		}
	}
	for _, server := range s.servers {
		if slices.Contains(e.drain, server.Document.ID) {
			document := server.Document
			document.State = "draining"
			note.Changed.Servers = append(note.Changed.Servers, document)
		}
	}
	for _, zone := range e.zoneOut {
		if err := s.applyCommand("", zone, "zone-out"); err != nil {
			return nil, err
		}
	}
	for _, zone := range e.zoneIn {
		if err := s.applyCommand("", zone, "zone-in"); err != nil {
			return nil, err
		}
	}
	return note, nil
}

func (s *ServerSet) applyCommand(id, zone, command string) error {
	matched := 0
	for _, server := range s.servers {
		if id != "" && server.Document.ID != id || zone != "" && server.Document.Zone != zone {
			continue
		}
		matched++
		condition, err := server.condition.load().apply(command, time.Now())
		if err != nil {
			return err
		}
		server.condition.current.Store(&condition)
	}
	if matched == 0 {
		return merry.Errorf("no server matches server %q, zone %q", id, zone)
	}
	return nil
}

// addServer starts one more server of a service, cold, and returns its document.
func (s *ServerSet) addServer(ctx context.Context, name string) (wire.Server, error) {
	for i := range s.deployment.Services {
		service := &s.deployment.Services[i]
		if service.Name != name {
			continue
		}
		index := 0
		for _, server := range s.servers {
			if server.service == service {
				index++
			}
		}
		if err := s.startServer(ctx, service, s.deployment.ServerDocument(service, index)); err != nil {
			return wire.Server{}, err
		}
		added := s.servers[len(s.servers)-1]
		added.condition.current.Store(&Condition{ColdSince: time.Now(), ColdAnnounced: true})
		return added.Document, nil
	}
	return wire.Server{}, merry.Errorf("unknown service %q", name)
}

// Handler serves the control endpoint of the servers.
func (s *ServerSet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		reply := make(chan []*Server, 1)
		s.events <- serversEvent{reply}
		var records []Record
		for _, server := range <-reply {
			records = append(records, server.Record())
		}
		_ = json.NewEncoder(w).Encode(records)
	})
	mux.HandleFunc("POST /command", func(w http.ResponseWriter, r *http.Request) {
		reply := make(chan error, 1)
		s.events <- commandEvent{r.FormValue("server"), r.FormValue("zone"), r.FormValue("do"), reply}
		if err := <-reply; err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("POST /note", s.serveNote)
	return mux
}

func (s *ServerSet) serveNote(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.FormValue("version"), 10, 64)
	if err != nil || version < 2 {
		http.Error(w, "version: must be a number above 1", http.StatusBadRequest)
		return
	}
	reply := make(chan noteReply, 1)
	s.events <- noteEvent{version: version, add: r.Form["add"], drain: r.Form["drain"], withdraw: r.Form["withdraw"],
		zoneOut: r.Form["zone_out"], zoneIn: r.Form["zone_in"], reply: reply}
	result := <-reply
	if result.err != nil {
		http.Error(w, result.err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(result.note)
}
