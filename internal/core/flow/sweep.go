package flow

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

const (
	// TickInterval is how often Tick is to be called while the shard has records.
	TickInterval = 100 * time.Millisecond
	// sweepParts is the number of ticks that one pass over all records takes.
	sweepParts = 16
	// maxPending bounds the exceptions that wait to be sent.
	maxPending = 512
	// maxVoids bounds the ended exceptions that wait to be sent.
	maxVoids = 256
	// recordCost is the size in bytes of a record on its way: 16 bytes packed,
	// a third more for base64. batchCost is the rest of the message with its
	// authentication code and TCP and IP headers.
	recordCost = 22
	batchCost  = 256
	// batchRecords bounds the records of a batch.
	batchRecords = 256
	// saveSeconds is how many seconds' worth of the budget may be saved up.
	saveSeconds = 4
)

// sweep is the state of the pass over all records that runs in small parts.
type sweep struct {
	next int // index of the next segment
	// again is set if owners or choices changed during the pass.
	again bool
	// checking is set if this pass compares each record with base.
	checking bool
	// base is the placement under which all records were checked last.
	base      *placement.Members
	histories map[model.ServiceID]*table.History

	refreshAt  model.Time
	refreshing bool

	// found collects the exceptions of this pass; pending holds those of the
	// last one, oldest first.
	found   youngestFirst
	pending []pendingRecord
	voids   []Record
}

type pendingRecord struct {
	record Record
	born   uint16
}

// recheck asks for a pass that compares each record with the new placement. A
// pass that runs already starts again; its base stays, so no change is missed.
func (w *sweep) recheck() {
	w.again = true
}

// void notes that a flow ended whose copy another instance holds.
func (w *sweep) void(r *record) {
	if len(w.voids) < maxVoids {
		w.voids = append(w.voids, Record{Fingerprint: r.fingerprint, Service: r.service(), Server: r.server, Void: true})
	}
}

// Tick ends flows, reports silent ones, follows changes of owners and sends
// exceptions. It handles a part of the records each time.
func (s *Shard) Tick(v *view.View, now model.Time, out *Output) {
	out.Batches, out.Ended, out.Silent = out.Batches[:0], out.Ended[:0], out.Silent[:0]
	if s.check(v, now) != model.ReasonNone {
		return
	}
	w := &s.sweep
	if w.again {
		w.again, w.checking, w.next = false, true, 0
		w.found = w.found[:0]
	}
	segments := s.records.segments
	for range (len(segments) + sweepParts - 1) / sweepParts {
		if w.next >= len(segments) {
			break
		}
		if segments[w.next] != nil {
			s.sweepSegment(segments[w.next], now, out)
			s.records.merge(uint32(w.next))
		}
		w.next++
	}
	if w.next >= len(segments) {
		s.endPass(now)
	}
	s.send(now, out)
}

func (s *Shard) endPass(now model.Time) {
	w := &s.sweep
	w.next = 0
	w.pending = append(w.pending[:0], w.found...)
	w.found = w.found[:0]
	slices.SortFunc(w.pending, func(a, b pendingRecord) int { return cmp.Compare(int16(a.born-b.born), 0) })
	if w.checking {
		w.checking, w.base = false, s.view.Members
		w.histories = make(map[model.ServiceID]*table.History, len(s.byID))
		for id, e := range s.byID {
			w.histories[id] = e.history
		}
	}
	w.refreshing = false
	if now >= w.refreshAt {
		// Records are checked as well, since generations expire without an event.
		w.refreshing, w.checking, w.refreshAt = true, true, now.Add(RefreshInterval)
	}
}

// sweepSegment looks at each record of a segment. A removed record is replaced
// by a later one, so its slot is looked at again.
func (s *Shard) sweepSegment(g *segment, now model.Time, out *Output) {
	for i, looks := 0, 0; i < segmentSlots && looks < 2*segmentSlots; looks++ {
		r := &g.slots[i]
		if r.word == 0 {
			i++
			continue
		}
		if reason := s.sweepRecord(r, now, out); reason != model.ReasonNone {
			if r.role() == roleOwn {
				out.Ended = append(out.Ended, endedOf(r, reason))
			}
			s.drop(r)
			continue
		}
		i++
	}
}

func endedOf(r *record, reason model.Reason) Ended {
	return Ended{Fingerprint: r.fingerprint, Service: r.service(), Server: r.server, Reason: reason}
}

// sweepRecord returns the reason for removing a record, or ReasonNone.
func (s *Shard) sweepRecord(r *record, now model.Time, out *Output) model.Reason {
	tick := tickOf(now)
	server := s.server(r)
	if server == nil && r.early(tick) {
		return model.ReasonNone
	}
	if server == nil {
		return s.gone(r.service(), r.server)
	}
	e := s.byID[r.service()]
	if e == nil {
		return model.ReasonServerRemoved
	}
	if r.role() == roleHint && r.expired(tick) {
		r.expire(now)
	}
	idle := r.idle(tick)
	if idle > tickMask/2 {
		idle = 0 // the packet came after this tick began
	}
	if idle > s.timeout(r, e) {
		if server.Warmth == view.Failed {
			return model.ReasonServerFailed
		}
		return model.ReasonIdle
	}
	if r.role() == roleOwn && r.has(flagEstablish) && !r.has(flagClosing|flagSilent) && idle > ticks(s.settings.SilentAfter) {
		r.word |= flagSilent
		out.Silent = append(out.Silent, endedOf(r, model.ReasonIdle))
	}
	if s.sweep.checking {
		s.recheck(r, e, server, now)
	}
	if s.sweep.refreshing && r.role() == roleOwn {
		r.word &^= flagSent
	}
	if r.unsent() {
		s.sweep.offer(r, now)
	}
	return model.ReasonNone
}

// timeout returns the ticks without packets after which a record is removed.
func (s *Shard) timeout(r *record, e *service) uint32 {
	switch {
	case r.role() != roleOwn:
		return ticks(CopyTimeout)
	case r.has(flagClosing):
		return ticks(min(ClosingTimeout, e.config.IdleTimeout))
	case !r.has(flagEstablish):
		return ticks(min(HandshakeTimeout, e.config.IdleTimeout))
	default:
		return ticks(e.config.IdleTimeout)
	}
}

// recheck follows a change of owners or table choices for one record.
func (s *Shard) recheck(r *record, e *service, server *view.Server, now model.Time) {
	route := s.route(e, now)
	owner, _ := route.owner(r.fingerprint)
	mine := owner == nil || owner.ID == s.view.Self.ID
	switch {
	case r.role() == roleHint:
		r.word |= flagClaim
		return
	case r.role() == roleCopy && mine:
		s.become(r, roleOwn)
		r.word |= flagEstablish | flagProgress
		s.classify(r, now)
		return
	case r.role() == roleCopy && r.has(flagSent):
		return
	}
	if !route.exception(r.fingerprint, server) {
		r.word &^= flagException | flagSent
		if !mine && r.role() == roleOwn {
			s.become(r, roleCopy)
		}
		return
	}
	if !r.has(flagException) || s.moved(r, route, server) {
		r.word &^= flagSent
	}
	r.word |= flagException
}

// moved reports whether a record needs to be sent to another instance than
// before.
func (s *Shard) moved(r *record, present route, server *view.Server) bool {
	w := &s.sweep
	history := w.histories[r.service()]
	if w.base == nil || history == nil {
		return true
	}
	before := route{view: s.view, members: w.base, history: history}.target(r.fingerprint, server)
	after := present.target(r.fingerprint, server)
	return before == nil || after == nil || before.ID != after.ID || before.Incarnation != after.Incarnation
}

// unsent reports whether a record is an exception that its target lacks.
func (r *record) unsent() bool {
	return r.role() != roleHint && r.word&(flagException|flagSent) == flagException
}

// offer notes an exception that is to be sent. The oldest flows are kept: found
// is a heap with the youngest on top once it is full.
func (w *sweep) offer(r *record, now model.Time) {
	p := pendingRecord{born: r.born(), record: Record{Fingerprint: r.fingerprint, Service: r.service(), Server: r.server,
		Age: uint8(min((bornOf(now)-r.born())>>2, MaxAge))}}
	if len(w.found) < maxPending {
		if w.found = append(w.found, p); len(w.found) == maxPending {
			heap.Init(&w.found)
		}
		return
	}
	if int16(p.born-w.found[0].born) < 0 {
		w.found[0] = p
		heap.Fix(&w.found, 0)
	}
}

// youngestFirst orders pending records for package heap.
type youngestFirst []pendingRecord

func (h youngestFirst) Len() int           { return len(h) }
func (h youngestFirst) Less(i, j int) bool { return int16(h[i].born-h[j].born) > 0 }
func (h youngestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push and Pop complete heap.Interface; the heap has a fixed length.
func (h *youngestFirst) Push(x any) { *h = append(*h, x.(pendingRecord)) }

// Pop removes the last element.
func (h *youngestFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// send turns pending exceptions into batches, oldest flows first, as far as the
// budget allows. If it does not allow all, it waits until some seconds' worth
// is there, because a large batch costs less for each record.
func (s *Shard) send(now model.Time, out *Output) {
	w := &s.sweep
	rate := s.settings.ExceptionBudget
	if s.view.ShuttingDown || s.view.Self.Liveness == model.Leaving || s.view.Config.Withdrawn(s.view.Self.Zone) {
		rate = s.settings.LeaveBudget
	}
	s.exceptions.refill(now, rate, saveSeconds)
	need := min((len(w.pending)+len(w.voids))*(recordCost+batchCost), (saveSeconds-1)*rate)
	if need == 0 || s.exceptions.tokens < float64(need) {
		return
	}
	sent := 0
	for _, p := range w.pending {
		r := s.records.find(p.record.Fingerprint)
		if r != nil && r.unsent() && r.server == p.record.Server {
			if !s.sendRecord(p.record, now, out) {
				break
			}
			s.markSent(r, now)
		}
		sent++
	}
	w.pending = slices.Delete(w.pending, 0, sent)
	sent = 0
	for _, v := range w.voids {
		if !s.sendRecord(v, now, out) {
			break
		}
		sent++
	}
	w.voids = slices.Delete(w.voids, 0, sent)
}

// markSent notes that a record is with its target. A record that now belongs to
// another owner is kept as a copy.
func (s *Shard) markSent(r *record, now model.Time) {
	owner, _ := s.route(s.byID[r.service()], now).owner(r.fingerprint)
	if r.role() == roleOwn && owner != nil && owner.ID != s.view.Self.ID {
		s.become(r, roleCopy)
	}
	r.word |= flagSent
}

// sendRecord adds a record to the batch for its target. It reports false if the
// budget is used up.
func (s *Shard) sendRecord(x Record, now model.Time, out *Output) bool {
	e := s.byID[x.Service]
	server := s.view.ByNumber[view.ServerRef{Service: x.Service, Number: x.Server}]
	if e == nil || server == nil {
		return true
	}
	to := s.route(e, now).target(x.Fingerprint, server)
	if to == nil {
		return true
	}
	cost := recordCost
	i := slices.IndexFunc(out.Batches, func(b Batch) bool { return b.To.ID == to.ID && len(b.Records) < batchRecords })
	if i < 0 {
		cost += batchCost
	}
	if s.exceptions.tokens < float64(cost) {
		return false
	}
	s.exceptions.tokens -= float64(cost)
	if i < 0 {
		i = len(out.Batches)
		out.Batches = append(out.Batches, Batch{To: *to})
	}
	out.Batches[i].Records = append(out.Batches[i].Records, x)
	return true
}

// Failed notes that a batch did not arrive. Its exceptions are sent again.
func (s *Shard) Failed(b *Batch) {
	for i := range b.Records {
		r := s.records.find(b.Records[i].Fingerprint)
		if r != nil && r.role() != roleHint && r.has(flagException) {
			r.word &^= flagSent
		}
	}
}
