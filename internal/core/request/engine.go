package request

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/capacity"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// Settings holds the limits of an engine. A zero field selects its default.
type Settings struct {
	// QueueWait is the longest wait for a slot.
	QueueWait time.Duration
	// QueueLength limits the requests of one class of a service that wait for
	// admission or for a slot.
	QueueLength int
	// MaxKeys limits the keys that the engine keeps as their owner.
	MaxKeys int
	// TenantBytes and InstanceBytes limit the request body bytes in flight of each
	// tenant and of the instance.
	TenantBytes, InstanceBytes int64
	// AdmitTimeout limits the wait for the reply to CallAdmit.
	AdmitTimeout time.Duration
	// AcquireTimeout limits the wait for the reply to CallAcquire.
	AcquireTimeout time.Duration
	// ShutdownNotice is the time from the start of the shutdown, when this instance
	// announces it to the others, until it refuses new requests.
	ShutdownNotice time.Duration
	// ResponseTimeout limits the wait for the status line and headers of an answer
	// to an idempotent request, so that a retry is possible before the deadline.
	ResponseTimeout time.Duration
	// HedgeLimit is the number of hedges for each request of a service; 0 for none.
	HedgeLimit float64
}

// Defaults of Settings, and other limits.
const (
	DefaultQueueWait       = 50 * time.Millisecond
	DefaultQueueLength     = 64
	DefaultTenantBytes     = 64 << 20
	DefaultInstanceBytes   = 256 << 20
	DefaultAdmitTimeout    = 1500 * time.Millisecond
	DefaultAcquireTimeout  = 40 * time.Millisecond
	DefaultShutdownNotice  = 2 * time.Second
	DefaultResponseTimeout = 2 * time.Second
	// MaxKeyLength is the longest Idempotency-Key in bytes.
	MaxKeyLength = 64
	// LeaseMargin is added to the deadline of a request that runs on a lent slot,
	// so that the lease does not expire before the request in spite of the delay of
	// the Acquire message.
	LeaseMargin = 500 * time.Millisecond
	// MaxDispatches limits the dispatches of one request.
	MaxDispatches = 3
	// maxPendingAcquires limits the Acquire calls of one service in progress, so that
	// overload does not multiply messages.
	maxPendingAcquires = 4
	// maxAcquiresPerRequest limits the instances that are asked for a slot each time
	// a request is queued.
	maxAcquiresPerRequest = 2
	// acquireBackoff is the time for which an instance that lent no slot is not asked
	// again.
	acquireBackoff = 20 * time.Millisecond
	// maxParkTime limits the time that a repeated request waits for the outcome of the
	// permitted attempt.
	maxParkTime = time.Second
	// minObservedTimeout is the shortest wait that counts as a timeout of the server.
	// Shorter ones are rather due to the caller's deadline.
	minObservedTimeout = 200 * time.Millisecond
)

func (c Settings) withDefaults() Settings {
	c.QueueWait = cmp.Or(c.QueueWait, DefaultQueueWait)
	c.AdmitTimeout = cmp.Or(c.AdmitTimeout, DefaultAdmitTimeout)
	c.AcquireTimeout = cmp.Or(c.AcquireTimeout, DefaultAcquireTimeout)
	c.ShutdownNotice = cmp.Or(c.ShutdownNotice, DefaultShutdownNotice)
	c.ResponseTimeout = cmp.Or(c.ResponseTimeout, DefaultResponseTimeout)
	c.QueueLength = cmp.Or(c.QueueLength, DefaultQueueLength)
	c.MaxKeys = cmp.Or(c.MaxKeys, MaxKeys)
	c.TenantBytes = cmp.Or(c.TenantBytes, DefaultTenantBytes)
	c.InstanceBytes = cmp.Or(c.InstanceBytes, DefaultInstanceBytes)
	return c
}

// Engine handles all requests of one instance. It is not safe for concurrent use:
// one goroutine owns it.
type Engine struct {
	settings  Settings
	rng       *rand.Rand
	now       model.Time
	view      *view.View
	dedup     *dedupTable
	pool      *capacity.Pool
	bodyBytes *capacity.ByteLimiter
	budgets   map[model.ServiceID]*capacity.RetryBudget
	queues    map[model.ServiceID]*queue
	requests  map[ID]*pending
	leases    map[leaseKey]*lease
	lastLease LeaseID
	// epoch is this engine's own epoch; epochs are those of the other instances, as
	// received in their replies.
	epoch  Epoch
	epochs map[model.InstanceID]Epoch
	// acquiring holds the requests with an Acquire call in progress.
	acquiring map[ID]model.ServiceID
	hedging   hedging
	timers    timers
	actions   []Action
	// shutdownSince is when a view first had ShuttingDown set.
	shutdownSince model.Time
	shuttingDown  bool
	draining      bool
}

// lease is a slot lent to another instance.
type lease struct{ allocation capacity.Allocation }

type leaseKey struct {
	borrower model.InstanceID
	id       LeaseID
}

// New returns an engine. rng breaks ties and chooses the epoch and the first lease
// ID. The latter is random so that a message from before a restart matches no later
// lease.
func New(settings Settings, rng *rand.Rand) *Engine {
	settings = settings.withDefaults()
	return &Engine{
		settings:  settings,
		rng:       rng,
		dedup:     newDedupTable(settings.MaxKeys),
		pool:      capacity.NewPool(rng, settings.QueueWait),
		bodyBytes: capacity.NewByteLimiter(settings.TenantBytes, settings.InstanceBytes),
		budgets:   map[model.ServiceID]*capacity.RetryBudget{},
		queues:    map[model.ServiceID]*queue{},
		requests:  map[ID]*pending{},
		leases:    map[leaseKey]*lease{},
		acquiring: map[ID]model.ServiceID{},
		epoch:     Epoch(max(rng.Uint64(), 1)),
		epochs:    map[model.InstanceID]Epoch{},
		hedging:   newHedging(settings.HedgeLimit),
		lastLease: LeaseID(rng.Uint64() >> 16),
	}
}

// Handle processes one event and returns the resulting actions. v is the latest view.
// The slice is valid until the next call.
func (e *Engine) Handle(now model.Time, v *view.View, ev Event) []Action {
	e.now, e.actions = now, e.actions[:0]
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
	case AcquireReplied:
		e.acquireReplied(ev)
	case AnswerStarted:
		e.answerStarted(ev)
	case DispatchEnded:
		e.dispatchEnded(ev)
	case CallerDisconnected:
		e.callerDisconnected(ev)
	case PeerAdmit:
		e.peerAdmit(ev)
	case PeerReport:
		if ev.Msg.Epoch == e.epoch {
			e.replyToParked(e.dedup.report(now, ev.Msg))
		}
	case PeerAcquire:
		e.peerAcquire(ev)
	case PeerRelease:
		e.peerRelease(ev)
	case Drain:
		e.draining = true
	case Tick:
	}
	return e.actions
}

// InProgress returns the number of requests that have not been finished, and of cancelled
// dispatches that have not ended.
func (e *Engine) InProgress() int { return len(e.requests) + len(e.hedging.cancelled) }

// LentSlots returns the number of slots lent to other instances.
func (e *Engine) LentSlots() int { return len(e.leases) }

func (e *Engine) setView(v *view.View) {
	if v == e.view {
		return
	}
	e.view = v
	e.pool.SetView(v)
	e.hedging.forgetServers(v)
	if v != nil && v.ShuttingDown && !e.shuttingDown {
		e.shuttingDown, e.shutdownSince = true, e.now
	}
	for service := range e.queues {
		e.serveQueue(service)
	}
	if v != nil && v.Members != nil && len(e.epochs) > 2*len(v.Members.All()) {
		clear(e.epochs) // most belong to instances that are gone; the next replies set the others again
	}
}

func (e *Engine) refusesNew() bool {
	return e.draining || e.shuttingDown && e.now.Sub(e.shutdownSince) >= e.settings.ShutdownNotice
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

func (e *Engine) budget(service model.ServiceID) *capacity.RetryBudget {
	b := e.budgets[service]
	if b == nil {
		b = capacity.NewRetryBudget()
		e.budgets[service] = b
	}
	return b
}
