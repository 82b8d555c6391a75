package app

import (
	"fmt"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
	"github.com/savorytiller/savorytiller/internal/core/explain"
	"github.com/savorytiller/savorytiller/internal/core/model"
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

// explain returns where a new flow goes with the newest view.
func (i *Instance) explain(key model.FlowKey) admin.Flow {
	e := explain.NewFlow(i.control.View(), i.clock.Now(), key)
	out := admin.Flow{Source: key.Source.String(), Destination: key.Destination.String(),
		Fingerprint: fmt.Sprintf("%016x", e.Fingerprint), Zone: string(e.Zone), Owner: string(e.Owner),
		TableChoice: string(e.TableChoice), Server: string(e.Server), Reason: e.Reason.String(), Steps: e.Steps}
	return out
}
