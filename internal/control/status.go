package control

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// ServerStatus is the state of one backend server of the instance's zone.
type ServerStatus struct {
	Server  model.ServerID
	State   string
	Home    bool
	NewWork bool
	Slots   int
	Reason  model.Reason
}

// Status is the state of control for operators.
type Status struct {
	Version model.Version
	Digest  uint64
	// NewestKnown is the highest version that anybody named.
	NewestKnown model.Version
	// Age is the time since the service or a peer last answered.
	Age time.Duration
	// SourceAge is the time since any instance is known to have read the
	// configuration service.
	SourceAge time.Duration
	// ListAge is the time since the instance list was last read.
	ListAge      time.Duration
	Watcher      bool
	Live         int
	Known        int
	Revalidating bool
	// LastRefusal says why the last refused note was refused.
	LastRefusal string
	// Conflict is set if two notes with one version were seen.
	Conflict string
	Counts   counts
	Servers  []ServerStatus
	// Members are those of the own zone and those elsewhere that are not live.
	Members []member.Status
}

// status returns the state for operators.
func (m *machine) status() *Status {
	s := &Status{Version: m.version(), NewestKnown: m.notes.newestKnown, Age: m.now.Sub(m.lastContact), SourceAge: m.now.Sub(m.lastSourceRead),
		ListAge: m.now.Sub(m.listReadAt), Watcher: m.servers.watcher, Live: len(m.publisher.members.All()), Known: m.members.Len(),
		Members: m.members.Statuses(m.now), Revalidating: m.revalidating, LastRefusal: m.notes.lastRefusal, Conflict: m.notes.lastConflict, Counts: m.count}
	if m.notes.config != nil {
		s.Digest = m.notes.config.Digest
	}
	for _, home := range m.health.HomeServers() {
		st := m.health.Status(m.now, home.ID)
		s.Servers = append(s.Servers, ServerStatus{Server: home.ID, State: st.State.String(), Home: st.Home,
			NewWork: st.NewWork, Slots: st.Slots, Reason: st.Reason})
	}
	return s
}
