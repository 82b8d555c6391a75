package request

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/capacity"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// Config holds the limits of an engine. The zero value of a field means its
// default.
type Config struct {
	// QueueWait is the longest wait for a slot.
	QueueWait time.Duration
	// QueueLength bounds the requests of one class of a service that ask for
	// admission or wait for a slot.
	QueueLength int
	// MaxKeys bounds the keys that the engine remembers as owner.
	MaxKeys int
	// TenantBytes and InstanceBytes bound the request bodies in flight.
	TenantBytes, InstanceBytes int64
	// AdmitTimeout bounds a question to the owner of a key.
	AdmitTimeout time.Duration
	// AcquireTimeout bounds a question for a slot.
	AcquireTimeout time.Duration
	// LeaveGrace is the time from the announcement that this instance leaves
	// until it refuses new requests.
	LeaveGrace time.Duration
	// ResponseTimeout bounds the wait for the head of an answer to an
	// idempotent request, so that a retry is possible before the deadline.
	ResponseTimeout time.Duration
}

// Defaults of Config and other limits.
const (
	DefaultQueueWait       = 50 * time.Millisecond
	DefaultQueueLength     = 64
	DefaultTenantBytes     = 64 << 20
	DefaultInstanceBytes   = 256 << 20
	DefaultAdmitTimeout    = 1500 * time.Millisecond
	DefaultAcquireTimeout  = 40 * time.Millisecond
	DefaultLeaveGrace      = 2 * time.Second
	DefaultResponseTimeout = 2 * time.Second
	// MaxKeyLength is the longest Idempotency-Key in bytes.
	MaxKeyLength = 64
	// LeaseMargin is added to the deadline of a request that runs on a lent
	// slot, so that the lease outlives it in spite of the message's delay.
	LeaseMargin = 500 * time.Millisecond
	// MaxTries bounds the dispatches of one request.
	MaxTries = 3
	// maxAcquires bounds the questions for slots of one service under way, so
	// that an overload does not multiply messages.
	maxAcquires = 4
	// acquireRounds bounds the instances that one request asks.
	acquireRounds = 2
	// refusalMemory is the time for which an instance that had no free slot is
	// not asked again.
	refusalMemory = 20 * time.Millisecond
	// parkTime bounds the wait of a repeated request for the outcome of the
	// permitted attempt.
	parkTime = time.Second
	// minTimeoutObserved is the shortest wait that counts as a timeout of the
	// server. Shorter ones say more about the caller's deadline.
	minTimeoutObserved = 200 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.QueueWait = cmp.Or(c.QueueWait, DefaultQueueWait)
	c.AdmitTimeout = cmp.Or(c.AdmitTimeout, DefaultAdmitTimeout)
	c.AcquireTimeout = cmp.Or(c.AcquireTimeout, DefaultAcquireTimeout)
	c.LeaveGrace = cmp.Or(c.LeaveGrace, DefaultLeaveGrace)
	c.ResponseTimeout = cmp.Or(c.ResponseTimeout, DefaultResponseTimeout)
	c.QueueLength = cmp.Or(c.QueueLength, DefaultQueueLength)
	c.MaxKeys = cmp.Or(c.MaxKeys, MaxKeys)
	c.TenantBytes = cmp.Or(c.TenantBytes, DefaultTenantBytes)
	c.InstanceBytes = cmp.Or(c.InstanceBytes, DefaultInstanceBytes)
	return c
}

// Engine decides about all requests of one instance. It is owned by one
// goroutine.
type Engine struct {
	cfg     Config
	rng     *rand.Rand
	now     model.Time
	view    *view.View
	dedup   *dedup
	pool    *capacity.Pool
	bytes   *capacity.ByteLimiter
	budgets map[model.ServiceID]*capacity.RetryBudget
	queues  map[model.ServiceID]*queue
	reqs    map[ID]*pending
	leases  map[leaseKey]*lease
	lastID  LeaseID
	// epoch names this engine's memory of keys; epochs are those of the others,
	// as their replies gave them.
	epoch  Epoch
	epochs map[model.InstanceID]Epoch
	// asks are the questions for slots that are under way, by request.
	asks   map[ID]model.ServiceID
	timers timers
	out    []Action
	// leavingSince is when the view first said that this instance leaves.
	leavingSince model.Time
	leaving      bool
	draining     bool
}

// lease is a slot lent to another instance.
type lease struct{ holding capacity.Allocation }

type leaseKey struct {
	to model.InstanceID
	id LeaseID
}

// New returns an engine. The source decides ties; the first lease identifier
// is random, so that a message from before a restart fits no later lease.
func New(cfg Config, rng *rand.Rand) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{
		cfg:     cfg,
		rng:     rng,
		dedup:   newDedup(cfg.MaxKeys),
		pool:    capacity.NewPool(rng, cfg.QueueWait),
		bytes:   capacity.NewByteLimiter(cfg.TenantBytes, cfg.InstanceBytes),
		budgets: map[model.ServiceID]*capacity.RetryBudget{},
		queues:  map[model.ServiceID]*queue{},
		reqs:    map[ID]*pending{},
		leases:  map[leaseKey]*lease{},
		asks:    map[ID]model.ServiceID{},
		epoch:   Epoch(max(rng.Uint64(), 1)),
		epochs:  map[model.InstanceID]Epoch{},
		lastID:  LeaseID(rng.Uint64() >> 16),
	}
}

// Handle takes one event and returns the actions that follow. The view is the
// newest one; the slice is valid until the next call.
func (e *Engine) Handle(now model.Time, v *view.View, ev Event) []Action {
	e.now, e.out = now, e.out[:0]
	e.setView(v)
	e.runTimers()
	switch ev := ev.(type) {
	case Arrived:
		e.arrived(ev)
	case BodyRead:
		e.bodyRead(ev)
	case BodyInvalid:
		e.bodyInvalid(ev)
	case AdmitReplied:
		e.admitReplied(ev)
	case GrantReplied:
		e.grantReplied(ev)
	case Dispatched:
		e.dispatched(ev)
	case CallerGone:
		e.callerGone(ev)
	case PeerAdmit:
		e.peerAdmit(ev)
	case PeerReport:
		if ev.Msg.Epoch == e.epoch {
			e.answerParked(e.dedup.report(now, ev.Msg))
		}
	case PeerAcquire:
		e.peerAcquire(ev)
	case PeerRelease:
		e.peerRelease(ev)
	case Drain:
		e.draining = true
	case Tick:
	}
	return e.out
}

// InProgress returns the number of requests that have not been finished.
func (e *Engine) InProgress() int { return len(e.reqs) }

// Lent returns the number of slots lent to other instances.
func (e *Engine) Lent() int { return len(e.leases) }

func (e *Engine) setView(v *view.View) {
	if v == e.view {
		return
	}
	e.view = v
	e.pool.SetView(v)
	if v != nil && v.ShuttingDown && !e.leaving {
		e.leaving, e.leavingSince = true, e.now
	}
	for service := range e.queues {
		e.serveQueue(service)
	}
	if v != nil && v.Members != nil && len(e.epochs) > 2*len(v.Members.All()) {
		clear(e.epochs) // mostly of instances that are gone; the next replies give them again
	}
}

func (e *Engine) refusesNew() bool {
	return e.draining || e.leaving && e.now.Sub(e.leavingSince) >= e.cfg.LeaveGrace
}

func (e *Engine) emit(a Action) { e.out = append(e.out, a) }

func (e *Engine) budget(service model.ServiceID) *capacity.RetryBudget {
	b := e.budgets[service]
	if b == nil {
		b = capacity.NewRetryBudget()
		e.budgets[service] = b
	}
	return b
}
