package room

import (
	"math"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Life of what was observed of a server.
const (
	// sampleDecay is the time in which the weight of a sample falls to 1/e. A server that changes
	// its speed is seen as such after about that time.
	sampleDecay = 10 * time.Second
	// sampleLifetime is the time without news after which the load of a server is forgotten.
	sampleLifetime = 30 * time.Second
	// inProgressLifetime is the same for the requests in progress. It allows for two rotations of
	// 150 servers.
	inProgressLifetime = 5 * time.Second
)

// servers holds the newest load of servers by token. The load is a state and not a difference, so
// that a message that is lost or repeated changes nothing.
type servers map[uint32]ServerLoad

// age decays the load up to now.
func (l *ServerLoad) age(now model.Time) {
	weight := math.Exp(-float64(max(0, now.Sub(l.UpdatedAt))) / float64(sampleDecay))
	l.Samples *= weight
	l.Failed *= weight
	l.LogLatency *= weight
	if now.Sub(l.UpdatedAt) >= inProgressLifetime {
		l.InProgress = 0
	}
}

// add adds what another instance observed of the same server. Both are as of the same time.
func (l *ServerLoad) add(o *ServerLoad) {
	l.InProgress += o.InProgress
	l.Samples += o.Samples
	l.Failed += o.Failed
	l.LogLatency += o.LogLatency
	l.UpdatedAt = max(l.UpdatedAt, o.UpdatedAt)
}

// replace replaces the load of the servers in a newer report.
func (s servers) replace(now model.Time, newer map[uint32]ServerLoad) {
	for token, load := range newer {
		load.Token, load.UpdatedAt = token, now
		s[token] = load
	}
}

// observe adds the samples of a report of this instance. Servers that are not in the report have
// no requests in progress.
func (s servers) observe(now model.Time, report map[uint32]ServerLoad) {
	for token, old := range s {
		if _, ok := report[token]; !ok && old.InProgress != 0 {
			old.InProgress = 0
			s[token] = old
		}
	}
	for token, load := range report {
		load.Token, load.UpdatedAt = token, now
		if old, ok := s[token]; ok {
			old.age(now)
			old.InProgress = 0
			load.add(&old)
		}
		s[token] = load
	}
}

// expire forgets the servers without news.
func (s servers) expire(now model.Time) {
	for token, load := range s {
		if now.Sub(load.UpdatedAt) >= sampleLifetime {
			delete(s, token)
		}
	}
}

// addTo adds the load of each server as of now to a sum.
func (s servers) addTo(sum map[uint32]ServerLoad, now model.Time) {
	for token, load := range s {
		load.age(now)
		total := sum[token]
		total.Token = token
		total.add(&load)
		sum[token] = total
	}
}
