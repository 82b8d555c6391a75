// Package app assembles an entry instance from its parts and runs it. Entry instances
// select the backend servers of flows by lookup tables, keep records of the flows and
// handle HTTP requests; package app/steer assembles the instances that forward flows
// by tokens.
package app

import (
	"context"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
	"github.com/savorytiller/savorytiller/internal/adapter/backendhttp"
	"github.com/savorytiller/savorytiller/internal/adapter/clock"
	"github.com/savorytiller/savorytiller/internal/adapter/configservice"
	"github.com/savorytiller/savorytiller/internal/adapter/geneve"
	"github.com/savorytiller/savorytiller/internal/adapter/httpfront"
	"github.com/savorytiller/savorytiller/internal/adapter/httpserve"
	"github.com/savorytiller/savorytiller/internal/adapter/logging"
	"github.com/savorytiller/savorytiller/internal/adapter/metrics"
	"github.com/savorytiller/savorytiller/internal/adapter/peerrpc"
	"github.com/savorytiller/savorytiller/internal/adapter/serverhealth"
	"github.com/savorytiller/savorytiller/internal/adapter/settings"
	"github.com/savorytiller/savorytiller/internal/app/parts"
	"github.com/savorytiller/savorytiller/internal/control"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/port"
	"github.com/savorytiller/savorytiller/internal/traffic/flows"
	"github.com/savorytiller/savorytiller/internal/traffic/requests"
)

// Errors of this package.
var (
	// ErrStart means that a part could not be created.
	ErrStart = merry.Sentinel("cannot start")
	// ErrNoMember means that an instance is not in the view.
	ErrNoMember = merry.Sentinel("not a member")
)

// Instance is an entry instance with its open sockets and its parts.
type Instance struct {
	settings       *settings.Settings
	logs           *logging.Logs
	log            logr.Logger
	clock          *clock.System
	recorder       *metrics.Recorder
	sockets        *sockets
	peers          *peerrpc.Node
	control        *control.Control
	flows          *flows.Pool
	backends       *backendhttp.Client
	requests       *requests.Worker
	front          *httpfront.Server
	operatorServer *http.Server
}

// New opens the sockets of an instance and creates its parts, which Run starts.
// Logs go to w.
func New(s *settings.Settings, w io.Writer) (*Instance, error) {
	logs, err := logging.New(w, s.Log.Level)
	if err != nil {
		return nil, merry.Wrap(ErrStart, merry.WithCause(err))
	}
	opened, err := openSockets(s)
	if err != nil {
		return nil, err
	}
	i := &Instance{
		settings: s,
		logs:     logs,
		log:      logs.Part("entry"),
		clock:    clock.NewSystem(),
		recorder: metrics.New(s.Metrics.Decisions),
		sockets:  opened,
	}
	for _, create := range []func() error{i.newPeers, i.newControl, i.newFlows, i.newRequests, i.newOperatorServer} {
		if err := create(); err != nil {
			opened.close()
			return nil, merry.Wrap(ErrStart, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
	}
	return i, nil
}

// Addresses returns the addresses of the endpoints. A port that is 0 in the settings
// is replaced by the one that the operating system assigned.
func (i *Instance) Addresses() Addresses { return i.sockets.addresses }

// self returns the member record that this instance announces to others.
func (i *Instance) self() model.Member {
	a := i.Addresses()
	return model.Member{ID: i.settings.Instance.ID, Zone: i.settings.Instance.Zone, Incarnation: i.clock.Incarnation(),
		FlowAddress: a.Flows, PeerAddress: a.Peers, RequestAddress: a.Requests}
}

// seed returns a seed for random choices that differs between instances and between
// runs of the same instance.
func (i *Instance) seed() uint64 {
	return placement.Mix(placement.HashString(string(i.settings.Instance.ID)), uint64(i.clock.Incarnation()))
}

func (i *Instance) newPeers() (err error) {
	o := peerrpc.Options{Self: peerrpc.Identity{ID: i.settings.Instance.ID, Incarnation: i.clock.Incarnation()}}
	for _, k := range i.settings.PeerKeys {
		o.Keys = append(o.Keys, peerrpc.Key{ID: k.ID, Secret: k.Secret})
	}
	i.peers, err = peerrpc.New(o)
	return err
}

func (i *Instance) newControl() error {
	client, err := configservice.New(configservice.Options{ConfigURL: i.settings.Platform.URL, InstancesURL: i.settings.Platform.URL})
	if err != nil {
		return err
	}
	i.control, err = control.New(control.Options{
		Self:      i.self(),
		Clock:     i.clock,
		Config:    client,
		Instances: client,
		Codec:     configservice.Codec{},
		Peers:     i.peers,
		Health:    serverhealth.New(),
		Recorder:  i.recorder,
		Log:       i.logs.Part("control"),
		Seed:      i.seed(),
	})
	if err != nil {
		return err
	}
	i.control.Register(i.peers)
	return nil
}

func (i *Instance) newFlows() error {
	var keys []geneve.Key
	for _, k := range i.settings.PeerKeys {
		keys = append(keys, geneve.Key{ID: k.ID, Secret: k.Secret})
	}
	i.flows = flows.New(flows.Options{
		Shards:      i.settings.Flows.Shards,
		QueueLength: i.settings.Flows.QueuePackets,
		MaxFlows:    i.settings.Flows.Shards * i.settings.Flows.TableEntries,
		Self:        i.Addresses().Flows,
		Incarnation: i.clock.Incarnation(),
		Peers:       i.peers,
		Views:       i.control,
		Clock:       i.clock,
		Sender:      i.sockets.flows,
		Recorder:    i.recorder,
		NewCodec: func() port.FlowCodec {
			return geneve.NewCodec(geneve.Options{Self: i.Addresses().Flows, Keys: keys})
		},
		Observe: newFlowObserver(i.control),
	})
	i.peers.Handle(flows.MethodRecords, i.flows.HandleRecords)
	return nil
}

func (i *Instance) newRequests() (err error) {
	s := &i.settings.Requests
	i.backends = backendhttp.New(backendhttp.Options{Clock: i.clock})
	i.requests = requests.New(requests.Options{
		Clock:    i.clock,
		Views:    i.control,
		Peers:    i.peers,
		Backends: i.backends,
		Health:   requestObserver{i.control},
		Recorder: i.recorder,
		Settings: request.Settings{
			QueueWait:      s.QueueWait,
			QueueLength:    s.QueueLength,
			MaxKeys:        s.DedupKeys,
			TenantBytes:    s.TenantBytes,
			InstanceBytes:  s.InFlightBytes,
			ShutdownNotice: i.settings.Shutdown.Notice,
			HedgeLimit:     i.settings.Hedge.Limit,
		},
		Seed: i.seed(),
	})
	for method, handler := range i.requests.Handlers() {
		i.peers.Handle(method, handler)
	}
	i.front, err = httpfront.New(httpfront.Options{Handler: i.requests, MaxConnections: s.MaxConnections})
	return err
}

func (i *Instance) newOperatorServer() error {
	i.peers.Handle(methodExplain, i.handleExplain)
	i.operatorServer = admin.Source{
		Clock:     i.clock,
		Views:     i.control,
		Metrics:   i.metrics,
		Decisions: i.recorder.Decisions,
		Status:    i.status,
		Explain:   i.explain,
	}.Server()
	return nil
}

func (i *Instance) parts() []parts.Part {
	return []parts.Part{
		{Name: "control", Run: i.control.Run},
		{Name: "peer", Run: func(ctx context.Context) error { return i.peers.Serve(ctx, i.sockets.peers) }},
		{Name: "flow workers", Run: func(ctx context.Context) error { i.flows.Run(ctx); return nil }},
		{Name: "flow socket", Run: func(ctx context.Context) error {
			return i.sockets.flows.Serve(ctx, i.flows.NewReader().Receive)
		}},
		{Name: "request worker", Run: i.requests.Run},
		{Name: "request front end", Run: func(context.Context) error { return i.front.Serve(i.sockets.requests) }},
		{Name: "operators", Run: func(context.Context) error { return httpserve.Serve(i.operatorServer, i.sockets.operators) }},
	}
}
