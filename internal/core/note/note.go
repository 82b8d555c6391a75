// Package note validates release notes and applies them to a configuration. A
// release note contains the changes from a base version of the configuration to a
// newer version, or a complete configuration. It is applied or refused as a whole.
// Whether a note applies depends on its version and base, and not on where it was
// received from.
package note

import (
	"fmt"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Format is the only supported note format.
const Format = 1

// MaxBytes is the maximum size of an encoded note or of a part of a checkpoint, in
// bytes. It equals the maximum size of a value in the configuration service.
const MaxBytes = 1 << 20

// MaxParts is the maximum number of parts of a checkpoint.
const MaxParts = 64

// Server is a backend server with the name of its service.
type Server struct {
	Service string
	model.Server
}

// Set lists what a note adds or changes.
type Set struct {
	// Zones are withdrawn zones that return to service; only used in Note.Added.
	Zones    []model.Zone
	Services []model.Service // without servers
	Servers  []Server
}

// Removal lists what a note withdraws, by name or identifier.
type Removal struct {
	Zones    []model.Zone
	Services []string
	Servers  []model.ServerID
}

// Note is a decoded release note. Base is the version that it applies to; 0 means
// that it contains a complete configuration.
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
	// Digest is the digest of the resulting configuration. HasDigest is false if
	// the operators did not publish one.
	Digest    uint64
	HasDigest bool
}

// Checkpoint is the value of the key checkpoint/latest: the version of the newest
// complete configuration and the number of its parts. Parts are numbered from 0.
type Checkpoint struct {
	Version model.Version
	Parts   int
}

// Refusal is the error for a note that is not applied.
type Refusal struct {
	Reason model.Reason
	Detail string
}

// Error returns the reason code and the detail.
func (r *Refusal) Error() string { return r.Reason.String() + ": " + r.Detail }

// Refuse returns a refusal with a formatted detail.
func Refuse(reason model.Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// JoinParts combines the parts of a checkpoint into one note with a complete
// configuration. The error is a *Refusal.
func JoinParts(version model.Version, parts []*Note) (*Note, error) {
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

// SplitParts returns a complete configuration as the parts of a checkpoint, with at
// most the given numbers of services and servers in each.
func SplitParts(c *model.Configuration, servicesPerPart, serversPerPart int) []*Note {
	parts := []*Note{{Format: Format, Version: c.Version, Withdrawn: Removal{Zones: c.WithdrawnZones}}}
	last := parts[0]
	startPart := func() {
		last = &Note{Format: Format, Version: c.Version}
		parts = append(parts, last)
	}
	for i := range c.Services {
		if len(last.Added.Services) >= servicesPerPart {
			startPart()
		}
		s := c.Services[i]
		s.Servers = nil
		last.Added.Services = append(last.Added.Services, s)
	}
	for i := range c.Services {
		for j := range c.Services[i].Servers {
			if len(last.Added.Servers) >= serversPerPart {
				startPart()
			}
			last.Added.Servers = append(last.Added.Servers, Server{c.Services[i].Name, c.Services[i].Servers[j]})
		}
	}
	return parts
}
