package request

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Limits of the memory of keys.
const (
	// DedupWindow is the time for which the owner remembers a key.
	DedupWindow = 10 * time.Minute
	// MaxKeys bounds the keys remembered; at about 300 bytes each they take
	// 30 MB. A full memory refuses new keys rather than forget younger ones.
	MaxKeys = 100_000
	// MaxStoredAnswer is the size in bytes of the largest remembered answer.
	MaxStoredAnswer = 4096
	// MaxStoredAnswers bounds the bytes of all remembered answers; the oldest
	// are dropped first.
	MaxStoredAnswers = 8 << 20
	// PermitLife is the time in which a permitted request must be dispatched.
	PermitLife = 2 * time.Second
)

// dedupKey scopes a key to its service.
type dedupKey struct {
	service model.ServiceID
	key     string
}

type record struct {
	key dedupKey
	// attempt is the highest attempt seen; permitted is the one that holds the
	// permit while the state is MayRun.
	attempt, permitted int
	// digest is 0 until an attempt is admitted whose content is known.
	digest  uint64
	state   State
	answer  *StoredAnswer
	touched model.Time
	// next links the records in the order in which they were last touched.
	prev, next *record
	// parked are the calls that wait for the outcome of the permitted attempt.
	parked []parked
}

type parked struct {
	waiter  waiter
	attempt int
	since   model.Time
	until   model.Time
}

// waiter is who asked for admission: a caller's request at this instance, or a
// call of another instance.
type waiter struct {
	local ID
	call  CallID
}

// admission is the reply to one waiter.
type admission struct {
	to    waiter
	reply Admission
}

// dedup is the memory of the keys that this instance owns.
type dedup struct {
	records map[dedupKey]*record
	// oldest and newest are the ends of the list in order of last touch.
	oldest, newest *record
	answers        int64
	maxKeys        int
}

func newDedup(maxKeys int) *dedup {
	return &dedup{records: map[dedupKey]*record{}, maxKeys: maxKeys}
}

// admit decides about an attempt. With ok unset, the decision is parked and
// follows from report or expire.
func (d *dedup) admit(now model.Time, w waiter, m Admit, park time.Duration) (reply Admission, ok bool) {
	d.forget(now)
	k := dedupKey{m.Service, m.Key}
	r := d.records[k]
	if r == nil {
		if len(d.records) >= d.maxKeys {
			return refusal(refusedAs(m.Attempt), model.ReasonOverloaded), true
		}
		r = &record{key: k, attempt: m.Attempt, digest: m.Digest}
		d.records[k] = r
		d.touch(now, r)
		if m.Attempt == 1 {
			return d.permit(r, m.Attempt, PermitLife), true
		}
		// An earlier attempt may have run at an instance that is gone,
		// unreachable or paused.
		r.state = Unknown
		a := refusal(model.OutcomeUnknown, model.ReasonEarlierAttemptUnknown)
		a.UnknownKey = true
		return a, true
	}
	if r.digest == 0 {
		r.digest = m.Digest
	}
	if m.Digest != r.digest {
		return refusal(model.OutcomeNotRun, model.ReasonKeyReused), true
	}
	d.touch(now, r)
	repeated := m.Attempt <= r.attempt
	r.attempt = max(r.attempt, m.Attempt)
	switch {
	case r.state == Completed:
		return completed(r), true
	case repeated:
		return refusal(model.OutcomeUnknown, model.ReasonRepeatedAttempt), true
	case r.state == NotRun:
		return d.permit(r, m.Attempt, PermitLife), true
	case r.state == MayRun && park > 0 && len(r.parked) < maxParked:
		r.parked = append(r.parked, parked{waiter: w, attempt: m.Attempt, since: now, until: now.Add(park)})
		return Admission{}, false
	case r.state == MayRun:
		return refusal(model.OutcomeUnknown, model.ReasonInProgress), true
	default:
		a := refusal(model.OutcomeUnknown, model.ReasonEarlierAttemptUnknown)
		a.UnknownKey = r.permitted == 0 // known from later attempts only
		return a, true
	}
}

// maxParked bounds the calls that wait for one key.
const maxParked = 4

// report records what became of an attempt and answers the parked calls.
func (d *dedup) report(now model.Time, m Report) []admission {
	d.forget(now)
	k := dedupKey{m.Service, m.Key}
	r := d.records[k]
	if r == nil {
		return d.reportUnseen(now, k, m)
	}
	if m.Digest != 0 && m.Digest != r.digest {
		return nil
	}
	d.touch(now, r)
	r.parked = slices.DeleteFunc(r.parked, func(p parked) bool { return p.attempt == m.Attempt })
	if m.Attempt > r.attempt {
		// The receiving instance refused this attempt before it asked.
		r.attempt = m.Attempt
		return nil
	}
	if r.state != MayRun || m.Attempt != r.permitted {
		return nil
	}
	r.state = m.State
	if m.State == MayRun {
		return nil
	}
	if m.State == Completed && m.Answer != nil && len(m.Answer.Body) <= MaxStoredAnswer {
		r.answer = m.Answer
		d.answers += int64(len(m.Answer.Body))
		d.dropAnswers()
	}
	return d.unpark(now, r)
}

// reportUnseen records a first attempt that was refused before admission, so
// that the second attempt is known to be safe. A report of a later attempt says
// nothing about the earlier ones.
func (d *dedup) reportUnseen(now model.Time, k dedupKey, m Report) []admission {
	if m.Attempt != 1 || m.State != NotRun || len(d.records) >= d.maxKeys {
		return nil
	}
	r := &record{key: k, attempt: 1, digest: m.Digest, state: NotRun}
	d.records[k] = r
	d.touch(now, r)
	return nil
}

func (d *dedup) unpark(now model.Time, r *record) []admission {
	waiting := r.parked
	r.parked = nil
	var out []admission
	best := -1
	if r.state == NotRun {
		for i := range waiting {
			if waiting[i].attempt == r.attempt {
				best = i
			}
		}
	}
	for i, p := range waiting {
		switch {
		case i == best:
			// The receiver counts the permit from before it asked, so the time
			// that the call was parked is added.
			out = append(out, admission{p.waiter, d.permit(r, p.attempt, PermitLife+now.Sub(p.since))})
		case r.state == Completed:
			out = append(out, admission{p.waiter, completed(r)})
		case r.state == NotRun:
			out = append(out, admission{p.waiter, refusal(model.OutcomeUnknown, model.ReasonRepeatedAttempt)})
		default:
			out = append(out, admission{p.waiter, refusal(model.OutcomeUnknown, model.ReasonEarlierAttemptUnknown)})
		}
	}
	return out
}

// expire answers the parked calls of a key whose time is over.
func (d *dedup) expire(now model.Time, k dedupKey) []admission {
	r := d.records[k]
	if r == nil {
		return nil
	}
	var out []admission
	kept := r.parked[:0]
	for _, p := range r.parked {
		if p.until.After(now) {
			kept = append(kept, p)
			continue
		}
		out = append(out, admission{p.waiter, refusal(model.OutcomeUnknown, model.ReasonInProgress)})
	}
	r.parked = kept
	return out
}

func (d *dedup) permit(r *record, attempt int, validity time.Duration) Admission {
	r.state, r.permitted = MayRun, attempt
	return Admission{Permitted: true, Validity: validity}
}

func completed(r *record) Admission {
	a := refusal(model.OutcomeUnknown, model.ReasonAlreadyCompleted)
	if r.answer != nil {
		a.Outcome, a.Answer = model.OutcomeCompleted, r.answer
	}
	return a
}

func refusal(o model.Outcome, r model.Reason) Admission { return Admission{Outcome: o, Reason: r} }

// refusedAs returns the outcome of an attempt that an instance refuses without
// the owner's word: earlier attempts may have run.
func refusedAs(attempt int) model.Outcome {
	if attempt == 1 {
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}

// forget drops the keys whose window is over.
func (d *dedup) forget(now model.Time) {
	for d.oldest != nil && now.Sub(d.oldest.touched) >= DedupWindow && len(d.oldest.parked) == 0 {
		r := d.oldest
		d.unlink(r)
		if r.answer != nil {
			d.answers -= int64(len(r.answer.Body))
		}
		delete(d.records, r.key)
	}
}

func (d *dedup) dropAnswers() {
	for r := d.oldest; r != nil && d.answers > MaxStoredAnswers; r = r.next {
		if r.answer != nil {
			d.answers -= int64(len(r.answer.Body))
			r.answer = nil
		}
	}
}

func (d *dedup) touch(now model.Time, r *record) {
	d.unlink(r)
	r.touched, r.prev = now, d.newest
	if d.newest != nil {
		d.newest.next = r
	} else {
		d.oldest = r
	}
	d.newest = r
}

func (d *dedup) unlink(r *record) {
	if r.prev != nil {
		r.prev.next = r.next
	} else if d.oldest == r {
		d.oldest = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else if d.newest == r {
		d.newest = r.prev
	}
	r.prev, r.next = nil, nil
}
