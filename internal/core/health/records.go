package health

import (
	"slices"
	"strings"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// Record is what instances of a zone tell each other about a server. A higher
// epoch wins; records of one epoch are joined.
type Record struct {
	Server model.ServerID
	Epoch  uint32
	// Warm and WarmFlows say that the server carries its whole load of requests
	// and of flows.
	Warm      bool
	WarmFlows bool
	Draining  bool
}

func weight(r *Record) uint64 {
	if r.Epoch == 0 {
		return 0
	}
	flags := uint64(r.Epoch) << 3
	if r.WarmFlows {
		flags |= 4
	}
	if r.Warm {
		flags |= 1
	}
	if r.Draining {
		flags |= 2
	}
	return placement.Mix(placement.HashString(string(r.Server)), flags)
}

// Hash summarises all records; equal hashes mean equal records.
func (t *Table) Hash() uint64 { return t.hash }

func (t *Table) rehash(s *server, change func()) {
	t.hash -= weight(&s.record)
	change()
	t.hash += weight(&s.record)
}

// update changes a record and passes it on.
func (t *Table) update(s *server, r Record) {
	t.rehash(s, func() { s.record = r })
	s.sent = 0
	if !s.queued && len(t.queue) < maxQueue {
		s.queued = true
		t.queue = append(t.queue, r.Server)
	}
	t.changed = true
}

// Merge takes records of other instances.
func (t *Table) Merge(now model.Time, records []Record) {
	for _, r := range records {
		s, ok := t.servers[r.Server]
		if !ok || s.out || r.Epoch < s.record.Epoch {
			continue
		}
		if r.Epoch == s.record.Epoch {
			r = r.joined(s.record)
		}
		if r == s.record {
			continue
		}
		colder := s.record.Warm && !r.Warm || s.record.WarmFlows && !r.WarmFlows
		t.update(s, r)
		if colder {
			s.cool()
			s.quiet = now.Add(ColdQuiet)
		}
	}
}

// Records returns records to pass on with a message; limit is how often each
// is sent by one instance.
func (t *Table) Records(limit int) []Record {
	var out []Record
	slices.SortStableFunc(t.queue, func(a, b model.ServerID) int { return t.sent(a) - t.sent(b) })
	for i := 0; i < len(t.queue) && len(out) < MaxRecords; i++ {
		if s, ok := t.servers[t.queue[i]]; ok {
			s.sent++
			out = append(out, s.record)
		}
	}
	t.queue = slices.DeleteFunc(t.queue, func(id model.ServerID) bool {
		s, ok := t.servers[id]
		if ok && s.sent < limit {
			return false
		}
		if ok {
			s.queued = false
		}
		return true
	})
	return out
}

func (t *Table) sent(id model.ServerID) int {
	if s, ok := t.servers[id]; ok {
		return s.sent
	}
	return 0
}

// Urgent reports whether a record waits that few have seen.
func (t *Table) Urgent(limit int) bool {
	return slices.ContainsFunc(t.queue, func(id model.ServerID) bool { return t.sent(id) < limit/2 })
}

// All returns all records with a history, sorted by server.
func (t *Table) All() []Record {
	var out []Record
	for _, s := range t.servers {
		if s.record.Epoch > 0 {
			out = append(out, s.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return out
}
