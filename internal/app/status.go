package app

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// status returns the fields of /status that do not come from the view. The ages are
// -1 until the control plane has published its status.
func (i *Instance) status() admin.Status {
	out := admin.Status{Instance: admin.Instance{
		ID: string(i.settings.Instance.ID), Zone: string(i.settings.Instance.Zone),
		Incarnation: uint64(i.clock.Incarnation()), UptimeMs: time.Duration(i.clock.Now()).Milliseconds(),
	}}
	s := i.control.Status()
	if s == nil {
		out.Note.AgeMs, out.Note.SourceAgeMs, out.Note.ListAgeMs = -1, -1, -1
		return out
	}
	out.Note = admin.Note{Wanted: uint64(s.NewestKnown), AgeMs: s.Age.Milliseconds(), SourceAgeMs: s.SourceAge.Milliseconds(),
		ListAgeMs: s.ListAge.Milliseconds(), Watcher: s.Watcher, LastRefusal: s.LastRefusal, Alarm: s.Conflict}
	out.Members = members(i.control.View(), s.Members)
	return out
}

// members returns the members of the view, followed by those that are excluded from
// it, each with the reason for its state.
func members(v *view.View, statuses []member.Status) []admin.Member {
	out := []admin.Member{}
	reasons := make(map[model.InstanceID]string, len(statuses))
	for _, s := range statuses {
		reasons[s.Member.ID] = s.Reason
	}
	if v != nil && v.Members != nil {
		for _, m := range v.Members.All() {
			reason, ok := reasons[m.ID]
			if !ok { // statuses omits live members of other zones
				reason = "live in another zone"
			}
			out = append(out, admin.NewMember(m, reason))
			delete(reasons, m.ID)
		}
	}
	for _, s := range statuses {
		if _, excluded := reasons[s.Member.ID]; excluded {
			out = append(out, admin.NewMember(s.Member, s.Reason))
		}
	}
	return out
}
