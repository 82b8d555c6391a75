package registry

import (
	"context"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/port"
)

// event is a result that the control goroutine takes.
type event any

// evChanges is the result of a listing or a watch.
type evChanges struct {
	generation int
	whole      bool // a listing
	changes    catalog.Changes
	err        error
}

// evChecked is the result of reading the revision.
type evChecked struct {
	revision uint64
	err      error
}

// effect is a call that runs outside the control goroutine.
type effect interface {
	run(ctx context.Context, r port.Registry) event
}

// effList lists the registry.
type effList struct {
	generation int
}

func (f effList) run(ctx context.Context, r port.Registry) event {
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	changes, err := r.List(ctx)
	return evChanges{f.generation, true, changes, err}
}

// effWatch waits for changes.
type effWatch struct {
	generation int
	after      uint64
}

func (f effWatch) run(ctx context.Context, r port.Registry) event {
	changes, err := r.Watch(ctx, f.after, watchWait)
	return evChanges{f.generation, false, changes, err}
}

// effCheck reads the revision.
type effCheck struct{}

func (effCheck) run(ctx context.Context, r port.Registry) event {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	revision, err := r.Revision(ctx)
	return evChecked{revision, err}
}

// effCancel ends all calls and connections.
type effCancel struct{}

func (effCancel) run(context.Context, port.Registry) event { return nil }
