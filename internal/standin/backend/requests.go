package backend

import "time"

// coldSlowdown is how much longer every request takes while a cold server is
// given more than it can carry.
const coldSlowdown = 20

// begin asks the request worker for a slot.
type beginEvent struct {
	host  string
	reply chan grant
}

type grant struct {
	ok bool
	// slowdown multiplies the work time.
	slowdown int
}

// runEvent records that an operation starts to run.
type runEvent struct {
	operation string
	done      chan struct{}
}

// endEvent gives the slot back.
type endEvent struct{ completed, cancelled, expired bool }

type requestSnapshotEvent struct{ reply chan RequestRecord }

// requestState is owned by the request worker of one server.
type requestState struct {
	host      string
	slots     int
	inUse     int
	coldSince time.Time
	// carries is the number of requests that the server can carry now; it
	// doubles after as many successes as it carries.
	carries, successes int
	record             RequestRecord
}

func newRequestState(host string, slots int) *requestState {
	return &requestState{host: host, slots: slots, carries: slots}
}

func (s *requestState) begin(host string, c *Condition, now time.Time) grant {
	if c.Cold.After(s.coldSince) {
		s.coldSince, s.carries, s.successes = c.Cold, 1, 0
	}
	if overdue(c.ZoneOut, now) {
		s.record.LateZone++
	}
	if overdue(c.Draining, now) {
		s.record.LateNew++
	}
	if host != s.host {
		s.record.WrongHost++
		return grant{}
	}
	if c.Shedding || s.inUse >= s.slots {
		s.record.Shed++
		return grant{}
	}
	s.inUse++
	if s.inUse > s.carries {
		countExcess(c, &s.record.ColdExcess, &s.record.Surprised)
		return grant{ok: true, slowdown: coldSlowdown}
	}
	return grant{ok: true, slowdown: 1}
}

func (s *requestState) run(operation string, now time.Time) {
	s.record.Started++
	s.record.Runs = append(s.record.Runs, Run{operation, now.UnixNano()})
}

func (s *requestState) end(e endEvent) {
	s.inUse--
	switch {
	case e.completed:
		s.record.Completed++
		if s.successes++; s.carries < s.slots && s.successes >= s.carries {
			s.carries, s.successes = min(s.slots, 2*s.carries), 0
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
