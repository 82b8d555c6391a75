package operatorcli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/savorytiller/savorytiller/internal/adapter/configservice"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/note"
)

type checkNoteCommand struct {
	File  string   `arg:"" help:"Release note (JSON)."`
	After []string `help:"Earlier notes to apply first, in order of version. The first must be a complete configuration (base 0)." placeholder:"FILE"`
}

// noteResult is the output of check-note.
type noteResult struct {
	File     string `json:"file"`
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason"`
	Detail   string `json:"detail,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	// Digest is the digest of the resulting configuration, for release/latest.
	Digest   string `json:"digest,omitempty"`
	Services int    `json:"services"`
	Servers  int    `json:"servers"`
	// WithdrawnZones are the availability zones that are out of service once the note
	// is applied.
	WithdrawnZones []model.Zone `json:"withdrawn_zones"`
}

// Run applies the notes in order, with the same code as the instances. It returns
// errRefused if the note would be refused.
func (c *checkNoteCommand) Run(r *commandEnv) error {
	var config *model.Configuration
	for _, file := range c.After {
		next, err := applyFile(config, file)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		config = next
	}
	result := noteResult{File: c.File, Reason: model.ReasonNoteApplied.String(), WithdrawnZones: []model.Zone{}}
	next, err := applyFile(config, c.File)
	var refusal *note.Refusal
	switch {
	case errors.As(err, &refusal):
		result.Reason, result.Detail = refusal.Reason.String(), refusal.Detail
	case err != nil:
		return err
	default:
		result.accept(next)
	}
	err = r.print(result, func(w io.Writer) { result.writeText(w, len(c.After) == 0) })
	if err == nil && !result.Accepted {
		return errRefused
	}
	return err
}

func applyFile(config *model.Configuration, file string) (*model.Configuration, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	decoded, err := configservice.Codec{}.DecodeNote(raw)
	if err != nil {
		return nil, err
	}
	return note.Apply(config, decoded)
}

func (n *noteResult) accept(c *model.Configuration) {
	n.Accepted, n.Version, n.Digest = true, uint64(c.Version), fmt.Sprintf("%016x", c.Digest)
	n.Services = len(c.Services)
	for i := range c.Services {
		n.Servers += len(c.Services[i].Servers)
	}
	n.WithdrawnZones = append(n.WithdrawnZones, c.WithdrawnZones...)
}

func (n *noteResult) writeText(w io.Writer, noEarlierNotes bool) {
	if !n.Accepted {
		fmt.Fprintf(w, "%s: refused: %s: %s\n", n.File, n.Reason, n.Detail)
		if noEarlierNotes && n.Reason == model.ReasonNoteGap.String() {
			fmt.Fprintln(w, "to check a note with a base, pass the notes up to its base with --after")
		}
		return
	}
	fmt.Fprintf(w, "%s: accepted: version %d, digest %s, %d services, %d servers, out of service: %v\n",
		n.File, n.Version, n.Digest, n.Services, n.Servers, n.WithdrawnZones)
}
