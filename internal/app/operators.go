package app

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
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
	out.Note = admin.Note{Wanted: uint64(s.Wanted), AgeMs: s.Age.Milliseconds(), SourceAgeMs: s.SourceAge.Milliseconds(),
		ListAgeMs: s.ListAge.Milliseconds(), Watcher: s.Watcher, LastRefusal: s.LastRefusal, Alarm: s.Conflict}
	return out
}
