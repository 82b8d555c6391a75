package control

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// ServerStatus is the state of one backend server whose home is this instance.
type ServerStatus struct {
	Server  model.ServerID
	State   string
	Home    bool
	NewWork bool
	Slots   int
	Reason  model.Reason
}

// Status is the state of the control plane for operators.
type Status struct {
	Version model.Version
	Digest  uint64
	// NewestKnown is the highest version that a peer or the service has announced.
	NewestKnown model.Version
	// Age is the time since the service or a peer last answered.
	Age time.Duration
	// SourceAge is the time since the last known read of the configuration service
	// by any instance.
	SourceAge time.Duration
	// ListAge is the time since the last successful read of the instance list.
	ListAge      time.Duration
	Watcher      bool
	Live         int
	Known        int
	Revalidating bool
	// LastRefusal is the version of the last refused note and the reason.
	LastRefusal string
	// Conflict is set if two different notes with the same version were received.
	Conflict string
	Counts   counts
	Servers  []ServerStatus
	// Members are the members of this instance's zone, and the dead or leaving
	// members of other zones.
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
