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
	// TickInterval is how often Tick must be called while the shard has records.
	TickInterval = 100 * time.Millisecond
	// ticksPerPass is the number of ticks in which one pass covers all records.
	ticksPerPass = 16
	// maxPending bounds the exceptions that wait to be sent.
	maxPending = 512
	// maxDeletions bounds the deletions of copies that wait to be sent.
	maxDeletions = 256
	// recordBytes is the size of a record in a message: 16 bytes packed, plus a
	// third for base64. batchBytes is the rest of the message, with its
	// authentication code and TCP and IP headers.
	recordBytes = 22
	batchBytes  = 256
	// batchRecords bounds the records of a batch.
	batchRecords = 256
	// burstSeconds is how many seconds' worth of unused budget may accumulate.
	burstSeconds = 4
)

// sweep is the state of the pass over all records, which is spread over many
// ticks.
type sweep struct {
	next int // index of the next segment
	// restart is set if owners or table choices changed, so that the pass must
	// start again.
	restart bool
	// checking is set if this pass checks each record against the changed
	// placement (recheckRecord).
	checking bool
	// checkedMembers and checkedHistories are the placement under which all
	// records were last checked.
	checkedMembers   *placement.Members
	checkedHistories map[model.ServiceID]*table.History

	// refreshAt is when the next refresh starts; refreshing is set if this pass is
	// one, which sends all exceptions of own flows again.
	refreshAt  model.Time
	refreshing bool

	// found collects the exceptions of this pass; pending holds those of the
	// previous pass, oldest flow first.
	found     youngestFirst
	pending   []pendingRecord
	deletions []Record
}

type pendingRecord struct {
	record Record
	birth  uint16
}

// restartWithCheck starts a pass that checks each record against the changed
// placement. A pass in progress starts again, and the checked placement stays, so
// that no change is missed.
func (w *sweep) restartWithCheck() {
	w.restart = true
}

// addDeletion queues the deletion of a flow's copy at another instance. If the queue
// is full, the copy stays until CopyTimeout.
func (w *sweep) addDeletion(r *record) {
	if len(w.deletions) < maxDeletions {
		w.deletions = append(w.deletions, Record{Fingerprint: r.fingerprint, Service: r.service(), Server: r.server, Deleted: true})
	}
}

// Tick removes ended flows, reports silent ones, checks records after changes of
// owners, and sends exceptions. Each call covers a part of the records.
func (s *Shard) Tick(v *view.View, now model.Time, out *Output) {
	out.Batches, out.Ended, out.Silent = out.Batches[:0], out.Ended[:0], out.Silent[:0]
	if s.checkView(v, now) != model.ReasonNone {
		return
	}
	w := &s.sweep
	if w.restart {
		w.restart, w.checking, w.next = false, true, 0
		w.found = w.found[:0]
	}
	segments := s.records.segments
	for range (len(segments) + ticksPerPass - 1) / ticksPerPass {
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
	s.sendExceptions(now, out)
}

func (s *Shard) endPass(now model.Time) {
	w := &s.sweep
	w.next = 0
	s.pruneExempt(now)
	w.pending = append(w.pending[:0], w.found...)
	w.found = w.found[:0]
	slices.SortFunc(w.pending, func(a, b pendingRecord) int { return cmp.Compare(int16(a.birth-b.birth), 0) })
	if w.checking {
		w.checking, w.checkedMembers = false, s.view.Members
		w.checkedHistories = make(map[model.ServiceID]*table.History, len(s.byID))
		for id, svc := range s.byID {
			w.checkedHistories[id] = svc.history
		}
	}
	w.refreshing = false
	if now >= w.refreshAt {
		// Refreshed records are checked as well, because generations expire
		// without an event.
		w.refreshing, w.checking, w.refreshAt = true, true, now.Add(RefreshInterval)
	}
}

// sweepSegment visits each record of a segment. Removal may move a later record
// into the slot, so the slot is visited again.
func (s *Shard) sweepSegment(seg *segment, now model.Time, out *Output) {
	for i, visits := 0, 0; i < segmentSlots && visits < 2*segmentSlots; visits++ {
		r := &seg.slots[i]
		if r.word == 0 {
			i++
			continue
		}
		if reason := s.sweepRecord(r, now, out); reason != model.ReasonNone {
			if r.role() == roleOwned {
				out.Ended = append(out.Ended, eventOf(r, reason))
			}
			s.removeRecord(r)
			continue
		}
		i++
	}
}

func eventOf(r *record, reason model.Reason) FlowEvent {
	return FlowEvent{Fingerprint: r.fingerprint, Service: r.service(), Server: r.server, Reason: reason}
}

// sweepRecord updates a record and collects it if it must be sent. It returns the
// reason for removing it, or ReasonNone.
func (s *Shard) sweepRecord(r *record, now model.Time, out *Output) model.Reason {
	tick := tickOf(now)
	server := s.serverOf(r)
	if server == nil && r.mayAwaitServer(tick) {
		return model.ReasonNone
	}
	if server == nil {
		return s.removalReason(r.service(), r.server)
	}
	svc := s.byID[r.service()]
	if svc == nil {
		return model.ReasonServerRemoved
	}
	if r.role() == roleHint && r.hintExpired(tick) {
		r.expireHint(now)
	}
	idle := r.idleTicks(tick)
	if idle > tickMask/2 {
		idle = 0 // a packet arrived after this tick began
	}
	if idle > s.recordTimeout(r, svc) {
		if server.Warmth == view.Failed {
			return model.ReasonServerFailed
		}
		return model.ReasonIdle
	}
	if r.role() == roleOwned && r.has(flagEstablished) && !r.has(flagClosing|flagSilent) && idle > ticks(s.settings.SilentAfter) {
		r.word |= flagSilent
		out.Silent = append(out.Silent, eventOf(r, model.ReasonIdle))
	}
	if s.sweep.checking {
		s.recheckRecord(r, svc, server, now)
	}
	if s.sweep.refreshing && r.role() == roleOwned {
		r.word &^= flagSent
	}
	if r.needsSending() {
		s.sweep.addFound(r, now)
	}
	return model.ReasonNone
}

// recordTimeout returns after how many ticks without packets a record is removed.
func (s *Shard) recordTimeout(r *record, svc *service) uint32 {
	switch {
	case r.role() != roleOwned:
		return ticks(CopyTimeout)
	case r.has(flagClosing):
		return ticks(min(ClosingTimeout, svc.config.IdleTimeout))
	case !r.has(flagEstablished):
		return ticks(min(HandshakeTimeout, svc.config.IdleTimeout))
	default:
		return ticks(svc.config.IdleTimeout)
	}
}

// recheckRecord updates a record after a change of owners or table choices.
func (s *Shard) recheckRecord(r *record, svc *service, server *view.Server, now model.Time) {
	resolver := s.resolver(svc, now)
	owner, _ := resolver.owner(r.fingerprint)
	selfOwns := owner == nil || owner.ID == s.view.Self.ID
	switch {
	case r.role() == roleHint:
		r.word |= flagViaOwner
		return
	case r.role() == roleCopy && selfOwns:
		s.changeRole(r, roleOwned)
		r.word |= flagEstablished | flagProgress
		s.markException(r, now)
		return
	case r.role() == roleCopy && r.has(flagSent):
		return
	}
	if !resolver.isException(r.fingerprint, server) {
		r.word &^= flagException | flagSent
		if !selfOwns && r.role() == roleOwned {
			s.changeRole(r, roleCopy)
		}
		return
	}
	if !r.has(flagException) || s.copyHolderChanged(r, resolver, server) {
		r.word &^= flagSent
	}
	r.word |= flagException
}

// copyHolderChanged reports whether a record's copy holder may be another
// instance than at the last check.
func (s *Shard) copyHolderChanged(r *record, current resolver, server *view.Server) bool {
	w := &s.sweep
	history := w.checkedHistories[r.service()]
	if w.checkedMembers == nil || history == nil {
		return true
	}
	before := resolver{view: s.view, members: w.checkedMembers, history: history}.copyHolder(r.fingerprint, server)
	after := current.copyHolder(r.fingerprint, server)
	return before == nil || after == nil || before.ID != after.ID || before.Incarnation != after.Incarnation
}

// needsSending reports whether a record is an exception that its copy holder does
// not have yet.
func (r *record) needsSending() bool {
	return r.role() != roleHint && r.word&(flagException|flagSent) == flagException
}

// addFound collects an exception to be sent. If there are too many, the oldest
// flows are kept: a full found is a heap with the youngest flow on top.
func (w *sweep) addFound(r *record, now model.Time) {
	p := pendingRecord{birth: r.birth(), record: Record{Fingerprint: r.fingerprint, Service: r.service(), Server: r.server,
		Age: uint8(min((birthOf(now)-r.birth())>>2, MaxAge))}}
	if len(w.found) < maxPending {
		if w.found = append(w.found, p); len(w.found) == maxPending {
			heap.Init(&w.found)
		}
		return
	}
	if int16(p.birth-w.found[0].birth) < 0 {
		w.found[0] = p
		heap.Fix(&w.found, 0)
	}
}

// youngestFirst orders pending records for package heap.
type youngestFirst []pendingRecord

func (h youngestFirst) Len() int           { return len(h) }
func (h youngestFirst) Less(i, j int) bool { return int16(h[i].birth-h[j].birth) > 0 }
func (h youngestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push completes heap.Interface. The heap has a fixed length, so package heap
// calls neither Push nor Pop.
func (h *youngestFirst) Push(x any) { *h = append(*h, x.(pendingRecord)) }

// Pop removes and returns the last element.
func (h *youngestFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// sendExceptions puts pending exceptions and then deletions into batches, oldest
// flows first, as far as the budget allows. If it does not allow all, sending
// waits until burstSeconds-1 seconds' worth has accumulated, because records cost
// less in large batches.
func (s *Shard) sendExceptions(now model.Time, out *Output) {
	w := &s.sweep
	rate := s.settings.ExceptionBudget
	if s.view.ShuttingDown || s.view.Self.Liveness == model.Leaving || s.view.Config.Withdrawn(s.view.Self.Zone) {
		rate = s.settings.LeavingBudget
	}
	s.exceptionBudget.refill(now, rate, burstSeconds)
	need := min((len(w.pending)+len(w.deletions))*(recordBytes+batchBytes), (burstSeconds-1)*rate)
	if need == 0 || s.exceptionBudget.tokens < float64(need) {
		return
	}
	sent := 0
	for _, p := range w.pending {
		r := s.records.find(p.record.Fingerprint)
		if r != nil && r.needsSending() && r.server == p.record.Server {
			if !s.addToBatch(p.record, now, out) {
				break
			}
			s.markSent(r, now)
		}
		sent++
	}
	w.pending = slices.Delete(w.pending, 0, sent)
	sent = 0
	for _, d := range w.deletions {
		if !s.addToBatch(d, now, out) {
			break
		}
		sent++
	}
	w.deletions = slices.Delete(w.deletions, 0, sent)
}

// markSent records that the copy holder has a record. A flow that now belongs to
// another owner is kept as a copy.
func (s *Shard) markSent(r *record, now model.Time) {
	owner, _ := s.resolver(s.byID[r.service()], now).owner(r.fingerprint)
	if r.role() == roleOwned && owner != nil && owner.ID != s.view.Self.ID {
		s.changeRole(r, roleCopy)
	}
	r.word |= flagSent
}

// addToBatch adds a record to a batch for its copy holder. It reports false if
// the budget is used up. A record without service, server or copy holder is
// skipped.
func (s *Shard) addToBatch(x Record, now model.Time, out *Output) bool {
	svc := s.byID[x.Service]
	server := s.view.ByNumber[view.ServerRef{Service: x.Service, Number: x.Server}]
	if svc == nil || server == nil {
		return true
	}
	to := s.resolver(svc, now).copyHolder(x.Fingerprint, server)
	if to == nil {
		return true
	}
	cost := recordBytes
	i := slices.IndexFunc(out.Batches, func(b Batch) bool { return b.To.ID == to.ID && len(b.Records) < batchRecords })
	if i < 0 {
		cost += batchBytes
	}
	if s.exceptionBudget.tokens < float64(cost) {
		return false
	}
	s.exceptionBudget.tokens -= float64(cost)
	if i < 0 {
		i = len(out.Batches)
		out.Batches = append(out.Batches, Batch{To: *to})
	}
	out.Batches[i].Records = append(out.Batches[i].Records, x)
	return true
}

// BatchFailed must be called if a batch did not arrive. Its exceptions are sent
// again; its deletions are not, so the copies stay until CopyTimeout.
func (s *Shard) BatchFailed(b *Batch) {
	for i := range b.Records {
		r := s.records.find(b.Records[i].Fingerprint)
		if r != nil && r.role() != roleHint && r.has(flagException) {
			r.word &^= flagSent
		}
	}
}
