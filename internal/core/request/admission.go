package request

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// maxOwnerCandidates limits the instances that are asked to admit one repeated
// request.
const maxOwnerCandidates = 3

// requestAdmission asks the owner candidate of rank p.rank to admit the attempt.
// Attempt 1 is sent only to the owner. If the owner has no record of the key of a later
// attempt, the next candidates are asked too, including leaving instances, because a
// planned change may have moved the key to a new owner. Asking several instances is
// safe: only the one that decided about attempt 1 can permit a later attempt.
func (e *Engine) requestAdmission(p *pending) {
	p.owner = e.owner(p.service, p.key, p.attempt, p.rank)
	if p.owner == nil {
		e.endAdmission(p)
		e.refuse(p, model.ReasonNoOwner)
		return
	}
	p.askedAt, p.epoch = e.now, e.epochs[p.owner.ID]
	msg := Admit{Epoch: p.epoch, Service: p.service.ID, Key: p.key, Attempt: p.attempt, Digest: p.digest, Deadline: p.deadline.Sub(e.now)}
	if p.owner.ID != e.view.Self.ID {
		e.emit(CallAdmit{ID: p.id, To: *p.owner, Msg: msg, Timeout: min(e.settings.AdmitTimeout, msg.Deadline)})
		return
	}
	w := waiter{local: p.id}
	if reply, ok := e.dedup.admit(e.now, w, msg, parkDuration(msg.Deadline)); ok {
		e.admitted(p, reply)
	} else {
		e.startTimer(timer{at: e.now.Add(parkDuration(msg.Deadline)), kind: timerParked, key: dedupKey{msg.Service, msg.Key}})
	}
}

// parkDuration returns how long a repeated request waits for the outcome of the
// permitted attempt. At least half of the caller's remaining time is left for
// running the request.
func parkDuration(deadline time.Duration) time.Duration { return min(maxParkTime, deadline/2) }

func (e *Engine) admitReplied(ev AdmitReplied) {
	p := e.requests[ev.ID]
	if p == nil || p.phase != phaseAdmit {
		return
	}
	switch {
	case ev.Failed:
		// The owner may still receive the call or may have granted a permit that
		// was lost. The report states that this instance will not use the permit.
		e.report(p, StateNotRun, nil)
		e.tryNextOwner(p, refusal(refusedOutcome(p.attempt), model.ReasonPeerUnreachable))
	case ev.Admission.WrongEpoch && !p.epochRetried:
		// This instance did not have the owner's epoch, or the owner has restarted.
		// Asking again is safe, because the request is still pending here.
		e.epochs[p.owner.ID] = ev.Admission.Epoch
		p.epochRetried = true
		e.requestAdmission(p)
	case ev.Admission.WrongEpoch:
		e.tryNextOwner(p, refusal(refusedOutcome(p.attempt), model.ReasonPeerUnreachable))
	default:
		e.epochs[p.owner.ID] = ev.Admission.Epoch
		e.admitted(p, ev.Admission)
	}
}

func (e *Engine) admitted(p *pending, a Admission) {
	if a.UnknownKey {
		e.tryNextOwner(p, a)
		return
	}
	e.endAdmission(p)
	if !a.Permitted {
		e.finish(p, a.Outcome, a.Reason, a.Answer)
		return
	}
	p.permitted, p.permitEnd = true, p.askedAt.Add(a.Validity)
	e.dispatchOrQueue(p)
}

// tryNextOwner asks the next candidate to admit a repeated request. If there is none,
// it finishes the request with the outcome and reason of a.
func (e *Engine) tryNextOwner(p *pending, a Admission) {
	if p.attempt > 1 && p.rank+1 < maxOwnerCandidates && e.now.Before(p.deadline) && e.view.Fresh(e.now) &&
		e.owner(p.service, p.key, p.attempt, p.rank+1) != nil {
		p.rank++
		p.epochRetried = false
		e.requestAdmission(p)
		return
	}
	e.endAdmission(p)
	e.finish(p, a.Outcome, a.Reason, nil)
}

// endAdmission removes the request from the count of those that wait for admission.
func (e *Engine) endAdmission(p *pending) { e.queue(p.service.ID).admitting[p.kind.Class]-- }

// report informs the owner of the key how the attempt ended. A refusal before admission
// is reported too, so that the owner can permit the next attempt: otherwise it would
// have to assume that this one may have run.
func (e *Engine) report(p *pending, s KeyState, answer *StoredAnswer) {
	if p.kind == nil || p.kind.Idempotent || p.key == "" || len(p.key) > MaxKeyLength || p.attempt <= 0 {
		return
	}
	to := p.owner
	if to == nil {
		// With an outdated view, this can be an instance that is no longer the owner. The
		// next attempt finds that instance among the candidates, or no record at all.
		to = e.owner(p.service, p.key, 1, 0)
	}
	if to == nil {
		return
	}
	epoch := p.epoch
	if p.owner == nil {
		epoch = e.epochs[to.ID]
	}
	msg := Report{Epoch: epoch, Service: p.service.ID, Key: p.key, Attempt: p.attempt, Digest: p.digest, State: s, Answer: answer}
	if to.ID == e.view.Self.ID {
		e.replyToParked(e.dedup.report(e.now, msg))
		return
	}
	if epoch != 0 {
		e.emit(CallReport{To: *to, Msg: msg})
	}
}

func (e *Engine) peerAdmit(ev PeerAdmit) {
	if ev.Msg.Epoch != e.epoch {
		e.emit(ReplyAdmit{Call: ev.Call, Msg: Admission{Epoch: e.epoch, WrongEpoch: true}})
		return
	}
	wait := parkDuration(ev.Msg.Deadline)
	w := waiter{call: ev.Call}
	reply, ok := e.dedup.admit(e.now, w, ev.Msg, wait)
	if ok {
		reply.Epoch = e.epoch
		e.emit(ReplyAdmit{Call: ev.Call, Msg: reply})
		return
	}
	e.startTimer(timer{at: e.now.Add(wait), kind: timerParked, key: dedupKey{ev.Msg.Service, ev.Msg.Key}})
}

// replyToParked sends the replies to requests of this and of other instances.
func (e *Engine) replyToParked(list []parkedReply) {
	for _, a := range list {
		if a.waiter.call != 0 {
			a.reply.Epoch = e.epoch
			e.emit(ReplyAdmit{Call: a.waiter.call, Msg: a.reply})
			continue
		}
		if p := e.requests[a.waiter.local]; p != nil && p.phase == phaseAdmit {
			e.admitted(p, a.reply)
		}
	}
}

// ownerCandidate is an instance with the hash of its ID for rendezvous hashing.
type ownerCandidate struct {
	member *model.Member
	hash   uint64
}

// owner returns the instance at the given rank, from 0, among the candidates for the
// ownership of a key, or nil. Candidates are ranked by rendezvous hashing over the
// instances in the zones of the service, or over all instances if those zones have no
// live one. Leaving instances are candidates for later attempts only.
func (e *Engine) owner(svc *model.Service, key string, attempt, rank int) *model.Member {
	q := e.queue(svc.ID)
	if q.ownersView != e.view {
		q.owners, q.ownersView = ownerCandidates(e.view, svc), e.view
	}
	hash := placement.Mix(uint64(svc.ID), placement.HashString(key))
	var best [maxOwnerCandidates]*model.Member
	var scores [maxOwnerCandidates]uint64
	for _, c := range q.owners {
		if c.member.Liveness != model.Live && attempt == 1 {
			continue
		}
		m, score := c.member, placement.Mix(hash, c.hash)
		for i := range best {
			if best[i] == nil || score > scores[i] {
				best[i], m = m, best[i]
				scores[i], score = score, scores[i]
			}
			if m == nil {
				break
			}
		}
	}
	return best[rank]
}

// ownerCandidates returns the instances that can own keys of a service.
func ownerCandidates(v *view.View, svc *model.Service) []ownerCandidate {
	zones := map[model.Zone]bool{}
	for i := range svc.Servers {
		if z := svc.Servers[i].Zone; !v.Config.Withdrawn(z) {
			zones[z] = true
		}
	}
	var inZones, all []ownerCandidate
	hasLive := false
	for i := range v.Members.All() {
		m := &v.Members.All()[i]
		if m.Liveness == model.Dead {
			continue
		}
		c := ownerCandidate{m, placement.HashString(string(m.ID))}
		all = append(all, c)
		if zones[m.Zone] {
			inZones = append(inZones, c)
			hasLive = hasLive || m.Liveness == model.Live
		}
	}
	if hasLive {
		return inZones
	}
	return all
}
