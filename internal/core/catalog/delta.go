package catalog

import (
	"slices"
	"time"
)

// Delta is the difference between two configurations. Most versions change only a few of
// hundreds of routes, and instances send them to each other over links with little
// bandwidth.
type Delta struct {
	// Base is the version that the delta applies to, Version the one that it results in.
	Base, Version uint64
	// IdleTimeout and Services are those of Version, whether changed or not.
	IdleTimeout time.Duration
	Services    []Service
	// Routes are the new and changed routes; Removed holds the names of removed ones.
	Routes  []Route
	Removed []string
}

// Diff returns the delta from one configuration to another.
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

// sameRoute reports whether two routes with the same name are equal.
func sameRoute(a, b *Route) bool {
	return a.Endpoint == b.Endpoint && a.Idempotent == b.Idempotent && a.Terms == b.Terms && slices.Equal(a.Shares, b.Shares)
}

// Apply returns the configuration that results from applying the delta to its base.
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

// resolveDelta fills in the configuration or the delta that an entry lacks, based on the
// configuration in force. It returns false if the entry is a delta to another version.
func (c *Catalog) resolveDelta(e *Entry) bool {
	switch {
	case e.Config != nil && e.Delta == nil && c.config != nil && e.Config.Version >= c.config.Version:
		e.Delta = Diff(c.config, e.Config)
	case e.Config == nil && e.Delta != nil:
		if c.config == nil || c.config.Version != e.Delta.Base {
			return false
		}
		e.Config = e.Delta.Apply(c.config)
	}
	if e.Delta != nil && c.config != nil && slices.Equal(c.config.Services, e.Delta.Services) {
		// Kept deltas then hold no services of their own.
		e.Delta.Services, e.Config.Services = c.config.Services, c.config.Services
	}
	return true
}
