// Package lease ensures that at most one instance at a time uses a cold backend
// server, even while instances disagree on which of them are live. The home
// instance of a cold server uses it only while a majority of the server's
// witnesses have granted it a lease. Witnesses are instances that vote on the
// leases of a server. They are derived from the platform's instance list and not
// from probes, whose results differ between instances. Grants are not persisted:
// a restarted witness grants no leases until every lease that it may have granted
// before the restart has expired.
package lease

import (
	"slices"
	"strings"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// Duration is how long a lease is valid. The holder counts it from the time at
// which it sent the request, so the lease ends at the holder before it ends at the
// witness.
const Duration = 8 * time.Second

// RenewInterval is the time between two renewal requests of a holder.
const RenewInterval = 2500 * time.Millisecond

// witnessCount is the number of witnesses of a server in a zone with enough instances.
const witnessCount = 3

// witnessSalt makes the rendezvous order of witnesses independent of other
// rankings of the same instances.
const witnessSalt uint64 = 0x7769746e << 32

// Witnesses returns the witnesses of a server among the listed instances: the
// first three of its zone in rendezvous order. In a zone with two instances, the
// third witness comes from another zone, so that there is still a majority if one
// instance crashes. In a zone with one instance, that instance is the only witness.
func Witnesses(server model.ServerID, zone model.Zone, listed []model.Member) []model.InstanceID {
	type ranked struct {
		id    model.InstanceID
		score uint64
	}
	key := placement.Mix(placement.HashString(string(server)), witnessSalt)
	var sameZone, otherZones []ranked
	for i := range listed {
		r := ranked{listed[i].ID, placement.Mix(key, placement.HashString(string(listed[i].ID)))}
		if listed[i].Zone == zone {
			sameZone = append(sameZone, r)
		} else {
			otherZones = append(otherZones, r)
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
	slices.SortFunc(sameZone, byScore)
	if len(sameZone) == 2 && len(otherZones) > 0 {
		sameZone = append(sameZone, slices.MinFunc(otherZones, byScore))
	}
	var ids []model.InstanceID
	for i := 0; i < len(sameZone) && i < witnessCount; i++ {
		ids = append(ids, sameZone[i].id)
	}
	return ids
}

// HashWitnesses returns a hash that identifies a set of witnesses. With it, a
// witness detects and refuses requests that are based on a different instance
// list.
func HashWitnesses(witnesses []model.InstanceID) uint64 {
	var h uint64
	for _, w := range witnesses {
		h = placement.Mix(h, placement.HashString(string(w)))
	}
	return h
}

// grant is a lease that a witness has granted.
type grant struct {
	holder      model.InstanceID
	incarnation model.Incarnation
	until       model.Time
}

// Witness holds the leases that this instance has granted.
type Witness struct {
	grantsFrom model.Time // no grants before, because leases that an earlier run granted can still be valid
	grants     map[model.ServerID]grant
}

// NewWitness returns a witness that starts at the given time.
func NewWitness(now model.Time) *Witness {
	return &Witness{grantsFrom: now.Add(Duration), grants: map[model.ServerID]grant{}}
}

// Grant reports whether the holder gets the lease of a server, and extends the
// lease if it is the current holder. Another holder is refused until the lease
// expires. If allReported is set, every instance that may hold a lease from an
// earlier run of this witness has reported its leases, so the witness need not
// wait for them to expire.
func (w *Witness) Grant(now model.Time, server model.ServerID, holder model.InstanceID, inc model.Incarnation, allReported bool) bool {
	if now.Before(w.grantsFrom) && !allReported {
		return false
	}
	g, ok := w.grants[server]
	if ok && now.Before(g.until) && (g.holder != holder || g.incarnation != inc) {
		return false
	}
	w.grants[server] = grant{holder, inc, now.Add(Duration)}
	return true
}

// RestoreLeases records the leases that another instance reports to hold, because
// an earlier run of this witness may have granted them. Leases that are already
// recorded take precedence.
func (w *Witness) RestoreLeases(now model.Time, servers []model.ServerID, holder model.InstanceID, inc model.Incarnation) {
	if !now.Before(w.grantsFrom) {
		return
	}
	for _, s := range servers {
		if g, ok := w.grants[s]; !ok || !now.Before(g.until) {
			w.grants[s] = grant{holder, inc, now.Add(Duration)}
		}
	}
}

// Expire deletes leases that have expired.
func (w *Witness) Expire(now model.Time) {
	for s, g := range w.grants {
		if !now.Before(g.until) {
			delete(w.grants, s)
		}
	}
}

// Holder holds the leases that the witnesses have granted this instance for one
// server.
type Holder struct {
	witnesses []model.InstanceID
	hash      uint64
	until     map[model.InstanceID]model.Time // end of the lease by witness
	// RenewAt is when to send the next requests to the witnesses.
	RenewAt model.Time
}

// NewHolder returns a holder without leases.
func NewHolder(witnesses []model.InstanceID) *Holder {
	return &Holder{witnesses: witnesses, hash: HashWitnesses(witnesses), until: map[model.InstanceID]model.Time{}}
}

// SetWitnesses replaces the witnesses. Leases granted by witnesses that remain in
// the set stay valid.
func (h *Holder) SetWitnesses(witnesses []model.InstanceID) {
	if !slices.Equal(h.witnesses, witnesses) {
		h.witnesses, h.hash, h.RenewAt = witnesses, HashWitnesses(witnesses), 0
	}
}

// Witnesses returns the instances to request the lease from.
func (h *Holder) Witnesses() []model.InstanceID { return h.witnesses }

// WitnessesHash returns the result of HashWitnesses for the current witnesses.
func (h *Holder) WitnessesHash() uint64 { return h.hash }

// AddGrant records that a witness has granted a request that was sent at
// requestedAt.
func (h *Holder) AddGrant(witness model.InstanceID, requestedAt model.Time) {
	if slices.Contains(h.witnesses, witness) {
		h.until[witness] = max(h.until[witness], requestedAt.Add(Duration))
	}
}

// ValidUntil returns the time until which a majority of the witnesses have granted
// the lease; 0 without a majority.
func (h *Holder) ValidUntil() model.Time {
	ends := make([]model.Time, 0, len(h.witnesses))
	for _, w := range h.witnesses {
		ends = append(ends, h.until[w])
	}
	if len(ends) == 0 {
		return 0
	}
	slices.Sort(ends)
	// The witnesses with this end or a later one are a majority.
	return ends[len(ends)-(len(ends)/2+1)]
}
