package app

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// status returns what operators see besides the view.
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

// members lists the members of the view with the reason for each, and those
// that are excluded from the view.
func members(v *view.View, beliefs []member.Status) []admin.Member {
	out := []admin.Member{}
	known := make(map[model.InstanceID]string, len(beliefs))
	for _, b := range beliefs {
		known[b.Member.ID] = b.Reason
	}
	if v != nil && v.Members != nil {
		for _, m := range v.Members.All() {
			why, ok := known[m.ID]
			if !ok {
				why = "live in another zone"
			}
			out = append(out, admin.NewMember(m, why))
			delete(known, m.ID)
		}
	}
	for _, b := range beliefs {
		if _, excluded := known[b.Member.ID]; excluded {
			out = append(out, admin.NewMember(b.Member, b.Reason))
		}
	}
	return out
}
