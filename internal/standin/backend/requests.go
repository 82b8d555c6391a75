package backend

import "time"

// coldSlowdown multiplies the processing time of each request that exceeds the capacity
// of a cold server.
const coldSlowdown = 20

// acquireEvent requests a slot from the request worker.
type acquireEvent struct {
	host  string
	reply chan slotGrant
}

type slotGrant struct {
	ok bool
	// slowdown multiplies the processing time.
	slowdown int
}

// runEvent records that an operation starts to run. The worker closes done.
type runEvent struct {
	operation string
	done      chan struct{}
}

// releaseEvent returns a slot with the outcome of its request.
type releaseEvent struct{ completed, cancelled, expired bool }

type requestSnapshotEvent struct{ reply chan RequestRecord }

// requestState is owned by the request worker of one server.
type requestState struct {
	host      string
	slots     int
	inUse     int
	coldSince time.Time
	// capacity is the number of concurrent requests that the server can handle now.
	// It is 1 after a cold start, and doubles each time as many requests have completed.
	// successes is the number of requests completed since capacity last changed.
	capacity, successes int
	record              RequestRecord
}

func newRequestState(host string, slots int) *requestState {
	return &requestState{host: host, slots: slots, capacity: slots}
}

func (s *requestState) acquire(host string, c *Condition, now time.Time) slotGrant {
	if c.ColdSince.After(s.coldSince) {
		s.coldSince, s.capacity, s.successes = c.ColdSince, 1, 0
	}
	if graceExpired(c.ZoneOutSince, now) {
		s.record.LateZone++
	}
	if graceExpired(c.DrainingSince, now) {
		s.record.LateNew++
	}
	if host != s.host {
		s.record.WrongHost++
		return slotGrant{}
	}
	if c.Shedding || s.inUse >= s.slots {
		s.record.Shed++
		return slotGrant{}
	}
	s.inUse++
	if s.inUse > s.capacity {
		countExcess(c, &s.record.ColdExcess, &s.record.UnannouncedExcess)
		return slotGrant{ok: true, slowdown: coldSlowdown}
	}
	return slotGrant{ok: true, slowdown: 1}
}

func (s *requestState) recordRun(operation string, now time.Time) {
	s.record.Started++
	s.record.Runs = append(s.record.Runs, Run{operation, now.UnixNano()})
}

func (s *requestState) release(e releaseEvent) {
	s.inUse--
	switch {
	case e.completed:
		s.record.Completed++
		if s.successes++; s.capacity < s.slots && s.successes >= s.capacity {
			s.capacity, s.successes = min(s.slots, 2*s.capacity), 0
		}
	case e.cancelled:
		s.record.Cancelled++
	case e.expired:
		s.record.Expired++
	}
}

func (s *requestState) snapshot() RequestRecord {
	r := s.record
	r.Runs = append([]Run{}, s.record.Runs...)
	return r
}
