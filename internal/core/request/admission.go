package request

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// maxOwners bounds the instances that are asked about one repeated request.
const maxOwners = 3

// askOwner asks the candidate of the present rank. Attempt 1 is asked of the
// owner only. Later attempts are asked of the next candidates, leaving ones
// included, if the first does not know the key: it may have come to a new owner
// by a planned change. More than one question is safe, because only the instance
// that decided about attempt 1 can permit a later one.
func (e *Engine) askOwner(p *pending) {
	p.owner = e.owner(p.service, p.key, p.attempt, p.rank)
	if p.owner == nil {
		e.endAdmission(p)
		e.refuse(p, model.ReasonNoOwner)
		return
	}
	p.asked, p.epoch = e.now, e.epochs[p.owner.ID]
	msg := Admit{Epoch: p.epoch, Service: p.service.ID, Key: p.key, Attempt: p.attempt, Digest: p.digest, Deadline: p.deadline.Sub(e.now)}
	if p.owner.ID != e.view.Self.ID {
		e.emit(CallAdmit{ID: p.id, To: *p.owner, Msg: msg, Timeout: min(e.cfg.AdmitTimeout, msg.Deadline)})
		return
	}
	w := waiter{local: p.id}
	if reply, ok := e.dedup.admit(e.now, w, msg, park(msg.Deadline)); ok {
		e.admitted(p, reply)
	} else {
		e.startTimer(timer{at: e.now.Add(park(msg.Deadline)), kind: timerParked, key: dedupKey{msg.Service, msg.Key}})
	}
}

// park returns how long a repeated request waits for the permitted attempt. It
// leaves half of the caller's time for running it.
func park(deadline time.Duration) time.Duration { return min(parkTime, deadline/2) }

func (e *Engine) admitReplied(ev AdmitReplied) {
	p := e.reqs[ev.ID]
	if p == nil || p.phase != phaseAdmit {
		return
	}
	switch {
	case ev.Failed:
		// The question may still arrive, or the permit may be on its way; this
		// instance will not use it.
		e.report(p, NotRun, nil)
		e.unadmitted(p, refusal(refusedAs(p.attempt), model.ReasonPeerUnreachable))
	case ev.Admission.WrongEpoch && !p.reasked:
		// The owner's memory was not known or has changed. The request is still
		// in hand, so the second question is not late.
		e.epochs[p.owner.ID] = ev.Admission.Epoch
		p.reasked = true
		e.askOwner(p)
	case ev.Admission.WrongEpoch:
		e.unadmitted(p, refusal(refusedAs(p.attempt), model.ReasonPeerUnreachable))
	default:
		e.epochs[p.owner.ID] = ev.Admission.Epoch
		e.admitted(p, ev.Admission)
	}
}

func (e *Engine) admitted(p *pending, a Admission) {
	if a.UnknownKey {
		e.unadmitted(p, a)
		return
	}
	e.endAdmission(p)
	if !a.Permitted {
		e.finish(p, a.Outcome, a.Reason, a.Answer)
		return
	}
	p.permitted, p.permitEnd = true, p.asked.Add(a.Validity)
	e.wantSlot(p)
}

// unadmitted asks the next candidate about a repeated request, or ends it.
func (e *Engine) unadmitted(p *pending, a Admission) {
	if p.attempt > 1 && p.rank+1 < maxOwners && e.now.Before(p.deadline) && e.view.Fresh(e.now) &&
		e.owner(p.service, p.key, p.attempt, p.rank+1) != nil {
		p.rank++
		p.reasked = false
		e.askOwner(p)
		return
	}
	e.endAdmission(p)
	e.finish(p, a.Outcome, a.Reason, nil)
}

func (e *Engine) endAdmission(p *pending) { e.queue(p.service.ID).admitting[p.kind.Class]-- }

// report tells the owner of the key what became of the attempt. A refusal
// before admission is reported too, so that the next attempt is known to be
// the first that can run.
func (e *Engine) report(p *pending, s State, answer *StoredAnswer) {
	if p.kind == nil || p.kind.Idempotent || p.key == "" || len(p.key) > MaxKeyLength || p.attempt <= 0 {
		return
	}
	to := p.owner
	if to == nil {
		// An outdated view may name another instance than the present owner;
		// the next attempt finds it as one of the candidates, or not at all.
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
		e.answerParked(e.dedup.report(e.now, msg))
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
	wait := park(ev.Msg.Deadline)
	w := waiter{call: ev.Call}
	reply, ok := e.dedup.admit(e.now, w, ev.Msg, wait)
	if ok {
		reply.Epoch = e.epoch
		e.emit(ReplyAdmit{Call: ev.Call, Msg: reply})
		return
	}
	e.startTimer(timer{at: e.now.Add(wait), kind: timerParked, key: dedupKey{ev.Msg.Service, ev.Msg.Key}})
}

func (e *Engine) answerParked(list []admission) {
	for _, a := range list {
		if a.to.call != 0 {
			a.reply.Epoch = e.epoch
			e.emit(ReplyAdmit{Call: a.to.call, Msg: a.reply})
			continue
		}
		if p := e.reqs[a.to.local]; p != nil && p.phase == phaseAdmit {
			e.admitted(p, a.reply)
		}
	}
}

// candidate is an instance with the hash that rendezvous hashing uses.
type candidate struct {
	member *model.Member
	seed   uint64
}

// owner returns the candidate of the given rank, from 0, for the ownership of a
// key: by rendezvous hashing over the instances in the zones of the service, or
// over all instances if those zones have none. Leaving instances are candidates
// for later attempts only.
func (e *Engine) owner(svc *model.Service, key string, attempt, rank int) *model.Member {
	q := e.queue(svc.ID)
	if q.ownersOf != e.view {
		q.owners, q.ownersOf = candidates(e.view, svc), e.view
	}
	hash := placement.Mix(uint64(svc.ID), placement.HashString(key))
	var best [maxOwners]*model.Member
	var scores [maxOwners]uint64
	for _, c := range q.owners {
		if c.member.Liveness != model.Live && attempt == 1 {
			continue
		}
		m, score := c.member, placement.Mix(hash, c.seed)
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

func candidates(v *view.View, svc *model.Service) []candidate {
	zones := map[model.Zone]bool{}
	for i := range svc.Servers {
		if z := svc.Servers[i].Zone; !v.Config.Withdrawn(z) {
			zones[z] = true
		}
	}
	var in, all []candidate
	live := false
	for i := range v.Members.All() {
		m := &v.Members.All()[i]
		if m.Liveness == model.Dead {
			continue
		}
		c := candidate{m, placement.HashString(string(m.ID))}
		all = append(all, c)
		if zones[m.Zone] {
			in = append(in, c)
			live = live || m.Liveness == model.Live
		}
	}
	if live {
		return in
	}
	return all
}
