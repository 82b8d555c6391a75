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
	// Age is the time since the last answer of the service or message from a peer.
	Age time.Duration
	// SourceAge is the time since the last known read of the configuration service
	// by any instance.
	SourceAge time.Duration
	// ListAge is the time since the last successful read of the instance list.
	ListAge time.Duration
	// Watcher is set if this instance watches the configuration service for its zone.
	Watcher bool
	// Live is the number of live and leaving instances, Known that of all known
	// instances, dead ones included. Both include this one.
	Live  int
	Known int
	// Revalidating is set after a pause of the process until its view is renewed.
	Revalidating bool
	// LastRefusal is the version of the last refused note and the reason; empty for
	// none.
	LastRefusal string
	// Conflict describes the last two different notes with the same version; empty for
	// none.
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
