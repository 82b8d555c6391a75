package belief

import (
	"cmp"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Limits of the suspicion that a server fails requests although its health check is good.
const (
	// minFailingAnswers is the number of answers, and failingShare the share of failed ones, below
	// which a server is not suspected.
	minFailingAnswers = 10
	failingShare      = 0.3
	// failingRatio is how many times the median of the service the share must exceed. While all
	// servers reject requests because of overload, the median is high and none is suspected.
	failingRatio = 3
	// maxFailingPart is the divisor of the number of a service's servers in a zone that gives how
	// many of them may be suspected. More than that points to a cause other than single servers.
	maxFailingPart = 4
)

// Answers counts the answers of a server, of which some failed.
type Answers struct {
	Zone            model.Zone
	Token           uint32
	Samples, Failed float64
	// Failing is set by FailingServers.Mark if new flows should go to other servers.
	Failing bool
}

// MayFail reports whether answers make a server suspect, unless those of the others are similar.
func MayFail(samples, failed float64) bool {
	return samples >= minFailingAnswers && failed > failingShare*samples
}

func (a *Answers) share() float64 { return a.Failed / a.Samples }

// FailingServers compares the answers of the servers of a service. It holds only buffers.
type FailingServers struct {
	shares   []float64
	suspects []*Answers
	allowed  map[model.Zone]int
}

// Mark sets Failing for the servers of one service whose answers fail much more often than those
// of the others: the worst ones, and at most a quarter of the given servers of each zone.
func (f *FailingServers) Mark(servers []Answers) {
	if f.allowed == nil {
		f.allowed = map[model.Zone]int{}
	}
	f.shares, f.suspects = f.shares[:0], f.suspects[:0]
	clear(f.allowed)
	for i := range servers {
		a := &servers[i]
		a.Failing = false
		f.allowed[a.Zone]++
		if a.Samples >= minFailingAnswers {
			f.shares = append(f.shares, a.share())
		}
		if MayFail(a.Samples, a.Failed) {
			f.suspects = append(f.suspects, a)
		}
	}
	if len(f.suspects) == 0 {
		return
	}
	slices.Sort(f.shares)
	limit := failingRatio * f.shares[(len(f.shares)-1)/2]
	// All instances must suspect the same servers, so equal shares are ordered by token.
	slices.SortFunc(f.suspects, func(a, b *Answers) int {
		return cmp.Or(cmp.Compare(b.share(), a.share()), cmp.Compare(a.Token, b.Token))
	})
	for zone, n := range f.allowed {
		f.allowed[zone] = n / maxFailingPart
	}
	for _, a := range f.suspects {
		if a.share() > limit && f.allowed[a.Zone] > 0 {
			f.allowed[a.Zone]--
			a.Failing = true
		}
	}
}
