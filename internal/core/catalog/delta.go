package catalog

import (
	"slices"
	"time"
)

// Delta is the difference between two configurations. Most versions change a
// few routes of hundreds, and instances with narrow links pass them on.
type Delta struct {
	// Base is the version that the difference applies to.
	Base, Version uint64
	IdleTimeout   time.Duration
	Services      []Service
	// Routes are new or changed; Removed are the names of those that are gone.
	Routes  []Route
	Removed []string
}

// Diff returns the difference from one configuration to another.
func Diff(from, to *Configuration) *Delta {
	d := &Delta{Base: from.Version, Version: to.Version, IdleTimeout: to.IdleTimeout, Services: to.Services}
	before := make(map[string]*Route, len(from.Routes))
	for i := range from.Routes {
		before[from.Routes[i].Name] = &from.Routes[i]
	}
	for i := range to.Routes {
		r := &to.Routes[i]
		if old := before[r.Name]; old == nil || !sameRoute(old, r) {
			d.Routes = append(d.Routes, *r)
		}
		delete(before, r.Name)
	}
	for name := range before {
		d.Removed = append(d.Removed, name)
	}
	slices.Sort(d.Removed)
	return d
}

func sameRoute(a, b *Route) bool {
	return a.Endpoint == b.Endpoint && a.Idempotent == b.Idempotent && slices.Equal(a.Shares, b.Shares)
}

// Apply returns the configuration that the difference leads to.
func (d *Delta) Apply(base *Configuration) *Configuration {
	c := &Configuration{Version: d.Version, IdleTimeout: d.IdleTimeout, Services: d.Services}
	replaced := make(map[string]bool, len(d.Routes)+len(d.Removed))
	for i := range d.Routes {
		replaced[d.Routes[i].Name] = true
	}
	for _, name := range d.Removed {
		replaced[name] = true
	}
	for i := range base.Routes {
		if !replaced[base.Routes[i].Name] {
			c.Routes = append(c.Routes, base.Routes[i])
		}
	}
	c.Routes = append(c.Routes, d.Routes...)
	return c
}

// complete fills in the configuration or the difference that an entry lacks, by
// the configuration in force. It reports false if the entry is a difference from
// another version.
func (c *Catalog) complete(e *Entry) bool {
	switch {
	case e.Config != nil && e.Delta == nil && c.config != nil:
		e.Delta = Diff(c.config, e.Config)
	case e.Config == nil && e.Delta != nil:
		if c.config == nil || c.config.Version != e.Delta.Base {
			return false
		}
		e.Config = e.Delta.Apply(c.config)
	}
	return true
}
