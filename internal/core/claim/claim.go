// Package claim gives each cold backend server at most one user at a time, also
// while instances disagree on which of them are alive. The home instance of a
// cold server uses it only while a majority of the server's witnesses have
// granted it a lease. The witnesses follow from the platform's instance list
// and not from anybody's probes. Nothing is stored: a witness that restarts
// grants nothing until every lease that it may have granted before has ended.
package claim

import (
	"slices"
	"strings"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// Lease is how long a grant lasts. The holder counts it from before it asked.
const Lease = 8 * time.Second

// RenewEvery is the time between the requests of a holder.
const RenewEvery = 2500 * time.Millisecond

// witnessCount is the number of witnesses of a server in a zone with enough instances.
const witnessCount = 3

const witnessSalt uint64 = 0x7769746e << 32

// Witnesses returns the witnesses of a server among the listed instances: the
// first three of its zone in rendezvous order. A zone with two instances
// borrows one from another zone, so that one of them may crash; a zone with
// one instance is its own witness.
func Witnesses(server model.ServerID, zone model.Zone, listed []model.Member) []model.InstanceID {
	type ranked struct {
		id    model.InstanceID
		score uint64
	}
	key := placement.Mix(placement.HashString(string(server)), witnessSalt)
	var near, far []ranked
	for i := range listed {
		r := ranked{listed[i].ID, placement.Mix(key, placement.HashString(string(listed[i].ID)))}
		if listed[i].Zone == zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	byScore := func(a, b ranked) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.id), string(b.id))
	}
	slices.SortFunc(near, byScore)
	if len(near) == 2 && len(far) > 0 {
		near = append(near, slices.MinFunc(far, byScore))
	}
	var ids []model.InstanceID
	for i := 0; i < len(near) && i < witnessCount; i++ {
		ids = append(ids, near[i].id)
	}
	return ids
}

// Hash identifies a set of witnesses, so that a witness refuses a request that
// is based on another instance list than its own.
func Hash(witnesses []model.InstanceID) uint64 {
	var h uint64
	for _, w := range witnesses {
		h = placement.Mix(h, placement.HashString(string(w)))
	}
	return h
}

// grant is one promise of a witness.
type grant struct {
	holder      model.InstanceID
	incarnation model.Incarnation
	until       model.Time
}

// Witness keeps the promises that this instance made.
type Witness struct {
	from   model.Time // grants nothing before
	grants map[model.ServerID]grant
}

// NewWitness returns a witness that starts at now.
func NewWitness(now model.Time) *Witness {
	return &Witness{from: now.Add(Lease), grants: map[model.ServerID]grant{}}
}

// Grant answers a request for a server. The promise is exclusive until it ends.
// With complete set, every instance that may hold a promise of an earlier run
// of this witness has reported its claims, so the wait after the start is over.
func (w *Witness) Grant(now model.Time, server model.ServerID, holder model.InstanceID, inc model.Incarnation, complete bool) bool {
	if now.Before(w.from) && !complete {
		return false
	}
	g, ok := w.grants[server]
	if ok && now.Before(g.until) && (g.holder != holder || g.incarnation != inc) {
		return false
	}
	w.grants[server] = grant{holder, inc, now.Add(Lease)}
	return true
}

// Recover takes the claims that another instance reports to hold, because an
// earlier run of this witness may have granted them.
func (w *Witness) Recover(now model.Time, servers []model.ServerID, holder model.InstanceID, inc model.Incarnation) {
	if !now.Before(w.from) {
		return
	}
	for _, s := range servers {
		if g, ok := w.grants[s]; !ok || !now.Before(g.until) {
			w.grants[s] = grant{holder, inc, now.Add(Lease)}
		}
	}
}

// Expire forgets promises that have ended.
func (w *Witness) Expire(now model.Time) {
	for s, g := range w.grants {
		if !now.Before(g.until) {
			delete(w.grants, s)
		}
	}
}

// Holder keeps the leases that this instance has for one server.
type Holder struct {
	witnesses []model.InstanceID
	hash      uint64
	until     map[model.InstanceID]model.Time
	// AskAt is when to ask the witnesses again.
	AskAt model.Time
}

// NewHolder returns a holder without leases.
func NewHolder(witnesses []model.InstanceID) *Holder {
	return &Holder{witnesses: witnesses, hash: Hash(witnesses), until: map[model.InstanceID]model.Time{}}
}

// Change replaces the witnesses. Leases of those that stay remain valid.
func (h *Holder) Change(witnesses []model.InstanceID) {
	if !slices.Equal(h.witnesses, witnesses) {
		h.witnesses, h.hash, h.AskAt = witnesses, Hash(witnesses), 0
	}
}

// Witnesses returns whom to ask.
func (h *Holder) Witnesses() []model.InstanceID { return h.witnesses }

// Hash identifies the set of witnesses.
func (h *Holder) Hash() uint64 { return h.hash }

// Granted takes the grant of a witness for a request that was sent at asked.
func (h *Holder) Granted(witness model.InstanceID, asked model.Time) {
	if slices.Contains(h.witnesses, witness) {
		h.until[witness] = max(h.until[witness], asked.Add(Lease))
	}
}

// Until returns the end of the majority's leases; 0 without a majority.
func (h *Holder) Until() model.Time {
	ends := make([]model.Time, 0, len(h.witnesses))
	for _, w := range h.witnesses {
		ends = append(ends, h.until[w])
	}
	if len(ends) == 0 {
		return 0
	}
	slices.Sort(ends)
	// The majority's leases end with the earliest of the latest ones.
	return ends[len(ends)-(len(ends)/2+1)]
}
