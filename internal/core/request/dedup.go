package request

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Limits of the deduplication table.
const (
	// DedupWindow is the time for which the owner keeps a key after its last use.
	DedupWindow = 10 * time.Minute
	// MaxKeys limits the keys in the table; at about 300 bytes each they take 30 MB.
	// A full table refuses new keys rather than evict keys within their window.
	MaxKeys = 100_000
	// MaxStoredAnswerBytes is the size in bytes of the largest answer that is stored.
	MaxStoredAnswerBytes = 4096
	// MaxTotalAnswerBytes limits the bytes of all stored answers. The answers of the
	// least recently used keys are evicted first.
	MaxTotalAnswerBytes = 8 << 20
	// PermitValidity is the time within which a permitted request must be dispatched.
	PermitValidity = 2 * time.Second
)

// dedupKey scopes a key to its service.
type dedupKey struct {
	service model.ServiceID
	key     string
}

// keyRecord is the state of one key.
type keyRecord struct {
	key dedupKey
	// attempt is the highest attempt seen. permitted is the last attempt that was
	// permitted, or 0; it holds the permit while the state is StatePermitted.
	attempt, permitted int
	// digest is 0 until the digest of an attempt is known.
	digest   uint64
	state    KeyState
	answer   *StoredAnswer
	lastUsed model.Time
	// prev and next link the records in order of last use.
	prev, next *keyRecord
	// parked are the admissions that wait for the outcome of the permitted attempt.
	parked []parked
}

// parked is an admission that waits for the outcome of the permitted attempt.
type parked struct {
	waiter  waiter
	attempt int
	since   model.Time
	until   model.Time
}

// waiter is what waits for an admission: a pending request of this instance (local) or
// a call of another instance.
type waiter struct {
	local ID
	call  CallID
}

// parkedReply is the reply to one parked admission.
type parkedReply struct {
	waiter waiter
	reply  Admission
}

// dedupTable holds the state of the keys that this instance owns.
type dedupTable struct {
	records map[dedupKey]*keyRecord
	// oldest and newest are the ends of the list in order of last use.
	oldest, newest *keyRecord
	answerBytes    int64
	maxKeys        int
}

func newDedupTable(maxKeys int) *dedupTable {
	return &dedupTable{records: map[dedupKey]*keyRecord{}, maxKeys: maxKeys}
}

// admit decides whether an attempt may run. If ok is false, the admission is parked
// for at most the given time, and report or expireParked returns the reply.
func (d *dedupTable) admit(now model.Time, w waiter, m Admit, park time.Duration) (reply Admission, ok bool) {
	d.expireKeys(now)
	k := dedupKey{m.Service, m.Key}
	r := d.records[k]
	if r == nil {
		if len(d.records) >= d.maxKeys {
			return refusal(refusedOutcome(m.Attempt), model.ReasonOverloaded), true
		}
		r = &keyRecord{key: k, attempt: m.Attempt, digest: m.Digest}
		d.records[k] = r
		d.touch(now, r)
		if m.Attempt == 1 {
			return d.permit(r, m.Attempt, PermitValidity), true
		}
		// An earlier attempt may have run through an instance that is gone,
		// unreachable or paused.
		r.state = StateUnknown
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
	case r.state == StateCompleted:
		return completedReply(r), true
	case repeated:
		return refusal(model.OutcomeUnknown, model.ReasonRepeatedAttempt), true
	case r.state == StateNotRun:
		return d.permit(r, m.Attempt, PermitValidity), true
	case r.state == StatePermitted && park > 0 && len(r.parked) < maxParked:
		r.parked = append(r.parked, parked{waiter: w, attempt: m.Attempt, since: now, until: now.Add(park)})
		return Admission{}, false
	case r.state == StatePermitted:
		return refusal(model.OutcomeUnknown, model.ReasonInProgress), true
	default:
		a := refusal(model.OutcomeUnknown, model.ReasonEarlierAttemptUnknown)
		a.UnknownKey = r.permitted == 0 // no attempt was ever permitted here
		return a, true
	}
}

// maxParked limits the parked admissions of one key.
const maxParked = 4

// report records how an attempt ended and returns the replies to the admissions that
// waited for it.
func (d *dedupTable) report(now model.Time, m Report) []parkedReply {
	d.expireKeys(now)
	k := dedupKey{m.Service, m.Key}
	r := d.records[k]
	if r == nil {
		return d.reportUnknownKey(now, k, m)
	}
	if m.Digest != 0 && m.Digest != r.digest {
		return nil
	}
	d.touch(now, r)
	r.parked = slices.DeleteFunc(r.parked, func(p parked) bool { return p.attempt == m.Attempt })
	if m.Attempt > r.attempt {
		// The reporting instance refused this attempt before it asked for admission.
		r.attempt = m.Attempt
		return nil
	}
	if r.state != StatePermitted || m.Attempt != r.permitted {
		return nil
	}
	r.state = m.State
	if m.State == StatePermitted {
		return nil
	}
	if m.State == StateCompleted && m.Answer != nil && len(m.Answer.Body) <= MaxStoredAnswerBytes {
		r.answer = m.Answer
		d.answerBytes += int64(len(m.Answer.Body))
		d.evictAnswers()
	}
	return d.unpark(now, r)
}

// reportUnknownKey records a first attempt that was refused before admission, so that
// the second attempt can be permitted. A report of a later attempt is ignored, because
// it says nothing about the earlier ones.
func (d *dedupTable) reportUnknownKey(now model.Time, k dedupKey, m Report) []parkedReply {
	if m.Attempt != 1 || m.State != StateNotRun || len(d.records) >= d.maxKeys {
		return nil
	}
	r := &keyRecord{key: k, attempt: 1, digest: m.Digest, state: StateNotRun}
	d.records[k] = r
	d.touch(now, r)
	return nil
}

// unpark returns the replies to all parked admissions of a key. If no attempt has run,
// the latest attempt gets the permit.
func (d *dedupTable) unpark(now model.Time, r *keyRecord) []parkedReply {
	waiting := r.parked
	r.parked = nil
	var out []parkedReply
	winner := -1
	if r.state == StateNotRun {
		for i := range waiting {
			if waiting[i].attempt == r.attempt {
				winner = i
			}
		}
	}
	for i, p := range waiting {
		switch {
		case i == winner:
			// The receiver counts the validity from the time at which it asked, so
			// the time for which the admission was parked is added.
			out = append(out, parkedReply{p.waiter, d.permit(r, p.attempt, PermitValidity+now.Sub(p.since))})
		case r.state == StateCompleted:
			out = append(out, parkedReply{p.waiter, completedReply(r)})
		case r.state == StateNotRun:
			out = append(out, parkedReply{p.waiter, refusal(model.OutcomeUnknown, model.ReasonRepeatedAttempt)})
		default:
			out = append(out, parkedReply{p.waiter, refusal(model.OutcomeUnknown, model.ReasonEarlierAttemptUnknown)})
		}
	}
	return out
}

// expireParked returns the replies to the parked admissions of a key that have waited
// for their full time.
func (d *dedupTable) expireParked(now model.Time, k dedupKey) []parkedReply {
	r := d.records[k]
	if r == nil {
		return nil
	}
	var out []parkedReply
	kept := r.parked[:0]
	for _, p := range r.parked {
		if p.until.After(now) {
			kept = append(kept, p)
			continue
		}
		out = append(out, parkedReply{p.waiter, refusal(model.OutcomeUnknown, model.ReasonInProgress)})
	}
	r.parked = kept
	return out
}

func (d *dedupTable) permit(r *keyRecord, attempt int, validity time.Duration) Admission {
	r.state, r.permitted = StatePermitted, attempt
	return Admission{Permitted: true, Validity: validity}
}

// completedReply returns the reply for a completed request, with the stored answer if
// there is one.
func completedReply(r *keyRecord) Admission {
	a := refusal(model.OutcomeUnknown, model.ReasonAlreadyCompleted)
	if r.answer != nil {
		a.Outcome, a.Answer = model.OutcomeCompleted, r.answer
	}
	return a
}

func refusal(o model.Outcome, r model.Reason) Admission { return Admission{Outcome: o, Reason: r} }

// refusedOutcome returns the outcome of an attempt that is refused without the owner's
// decision. It is unknown for later attempts, because an earlier one may have run.
func refusedOutcome(attempt int) model.Outcome {
	if attempt == 1 {
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}

// expireKeys removes the keys that were last used more than DedupWindow ago.
func (d *dedupTable) expireKeys(now model.Time) {
	for d.oldest != nil && now.Sub(d.oldest.lastUsed) >= DedupWindow && len(d.oldest.parked) == 0 {
		r := d.oldest
		d.unlink(r)
		if r.answer != nil {
			d.answerBytes -= int64(len(r.answer.Body))
		}
		delete(d.records, r.key)
	}
}

// evictAnswers removes the answers of the least recently used keys while the stored
// answers exceed MaxTotalAnswerBytes.
func (d *dedupTable) evictAnswers() {
	for r := d.oldest; r != nil && d.answerBytes > MaxTotalAnswerBytes; r = r.next {
		if r.answer != nil {
			d.answerBytes -= int64(len(r.answer.Body))
			r.answer = nil
		}
	}
}

// touch marks a record as the most recently used.
func (d *dedupTable) touch(now model.Time, r *keyRecord) {
	d.unlink(r)
	r.lastUsed, r.prev = now, d.newest
	if d.newest != nil {
		d.newest.next = r
	} else {
		d.oldest = r
	}
	d.newest = r
}

func (d *dedupTable) unlink(r *keyRecord) {
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
