// Package note validates release notes and applies them to a configuration. A
// note is applied whole or refused whole; the order of versions decides, never
// the source of a note.
package note

import (
	"fmt"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Format is the only note format that this version understands.
const Format = 1

// MaxSize is the largest encoded note, and the largest part of a checkpoint, in
// bytes. It is the limit of a value in the configuration service.
const MaxSize = 1 << 20

// MaxParts bounds the parts of a checkpoint.
const MaxParts = 64

// Server is a backend server together with the name of its service.
type Server struct {
	Service string
	model.Server
}

// Set lists what a note adds or changes.
type Set struct {
	Zones    []model.Zone
	Services []model.Service // without servers
	Servers  []Server
}

// Removal lists what a note withdraws.
type Removal struct {
	Zones    []model.Zone
	Services []string
	Servers  []model.ServerID
}

// Note is a decoded release note.
type Note struct {
	Format    int
	Version   model.Version
	Base      model.Version
	Added     Set
	Changed   Set
	Withdrawn Removal
}

// Latest is the value of the key release/latest.
type Latest struct {
	Version model.Version
	// Digest of the resulting configuration; HasDigest is false if the
	// operators give none.
	Digest    uint64
	HasDigest bool
}

// Checkpoint is the value of the key checkpoint/latest: the version of the
// newest complete configuration and the number of its parts, counted from 0.
type Checkpoint struct {
	Version model.Version
	Parts   int
}

// Refusal is the error of a note that is not applied.
type Refusal struct {
	Reason model.Reason
	Detail string
}

// Error returns the reason code and the exact detail.
func (r *Refusal) Error() string { return r.Reason.String() + ": " + r.Detail }

// Refuse returns a refusal with a formatted detail.
func Refuse(reason model.Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Join combines the parts of a checkpoint into one complete note.
func Join(version model.Version, parts []*Note) (*Note, error) {
	whole := &Note{Format: Format, Version: version}
	for i, p := range parts {
		if p.Version != version || p.Base != 0 {
			return nil, Refuse(model.ReasonNoteContradictory, "part %d has version %d and base %d, expected %d and 0",
				i, p.Version, p.Base, version)
		}
		if p.Format != Format {
			return nil, Refuse(model.ReasonNoteFormat, "part %d has format %d", i, p.Format)
		}
		if len(p.Changed.Zones)+len(p.Changed.Services)+len(p.Changed.Servers) > 0 {
			return nil, Refuse(model.ReasonNoteContradictory, "part %d of a checkpoint has changes", i)
		}
		whole.Added.Services = append(whole.Added.Services, p.Added.Services...)
		whole.Added.Servers = append(whole.Added.Servers, p.Added.Servers...)
		whole.Withdrawn.Zones = append(whole.Withdrawn.Zones, p.Withdrawn.Zones...)
	}
	return whole, nil
}

// Split returns a complete configuration as the parts of a checkpoint.
func Split(c *model.Configuration, services, servers int) []*Note {
	parts := []*Note{{Format: Format, Version: c.Version, Withdrawn: Removal{Zones: c.WithdrawnZones}}}
	last := parts[0]
	next := func() {
		last = &Note{Format: Format, Version: c.Version}
		parts = append(parts, last)
	}
	for i := range c.Services {
		if len(last.Added.Services) >= services {
			next()
		}
		s := c.Services[i]
		s.Servers = nil
		last.Added.Services = append(last.Added.Services, s)
	}
	for i := range c.Services {
		for j := range c.Services[i].Servers {
			if len(last.Added.Servers) >= servers {
				next()
			}
			last.Added.Servers = append(last.Added.Servers, Server{c.Services[i].Name, c.Services[i].Servers[j]})
		}
	}
	return parts
}
