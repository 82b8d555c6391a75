package settings

import (
	"errors"
	"fmt"
	"math"
	"os"
	"regexp"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
)

// Errors of this package.
var (
	// ErrInvalid means that the settings were read but are not allowed.
	ErrInvalid = merry.Sentinel("invalid settings")
	// ErrUnreadable means that the file could not be read.
	ErrUnreadable = merry.Sentinel("cannot read settings")
)

// Problem is one value that is not allowed.
type Problem struct {
	File, Key, Got, Allowed string
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s; allowed: %s", p.File, p.Key, p.Got, p.Allowed)
}

// InvalidError holds all problems of a file. It matches ErrInvalid.
type InvalidError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether the target is ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }

// Load reads and checks the settings file of an instance. The error is
// ErrUnreadable, or an InvalidError with every problem of the file.
func Load(path string) (*Settings, error) { return load(path, Parse) }

func load[S any](path string, parse func(file string, data []byte) (*S, error)) (*S, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Wrap(ErrUnreadable, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return parse(path, data)
}

// Parse checks the contents of a settings file. The file name is used in
// messages only.
func Parse(file string, data []byte) (*Settings, error) {
	p, err := newParser(file, data, fields, "docs/OPERATIONS.md")
	if err != nil {
		return nil, err
	}
	p.settings.PeerKeys = p.peerKeys()
	p.fields()
	combinations(p)
	return p.result()
}

type parser[S any] struct {
	file     string
	known    []field[S]
	manual   string // page that lists the keys
	settings *S
	values   map[string]any // by dotted key, without the ones already used
	problems []Problem
}

// newParser reads the TOML syntax of a file.
func newParser[S any](file string, data []byte, known []field[S], manual string) (*parser[S], error) {
	tree := map[string]any{}
	if err := toml.Unmarshal(data, &tree); err != nil {
		at := "syntax"
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			row, column := syntax.Position()
			at = fmt.Sprintf("line %d, column %d", row, column)
		}
		return nil, &InvalidError{Problems: []Problem{{file, at, err.Error(), "TOML 1.0"}}}
	}
	p := &parser[S]{file: file, known: known, manual: manual, settings: new(S), values: map[string]any{}}
	p.flatten("", tree)
	return p, nil
}

// result returns the settings, or all problems.
func (p *parser[S]) result() (*S, error) {
	p.unknown()
	if len(p.problems) > 0 {
		return nil, &InvalidError{Problems: p.problems}
	}
	return p.settings, nil
}

func (p *parser[S]) problem(key, got, allowed string) {
	p.problems = append(p.problems, Problem{p.file, key, got, allowed})
}

// flatten collects the values under their dotted keys.
func (p *parser[S]) flatten(prefix string, tree map[string]any) {
	for key, value := range tree {
		if sub, ok := value.(map[string]any); ok && len(sub) > 0 {
			p.flatten(prefix+key+".", sub)
			continue
		} else if ok && p.isTable(prefix+key) {
			continue
		}
		p.values[prefix+key] = value
	}
}

// isTable reports whether the key is a table of the settings.
func (p *parser[S]) isTable(key string) bool {
	for _, f := range p.known {
		if strings.HasPrefix(f.key, key+".") {
			return true
		}
	}
	return false
}

func (p *parser[S]) fields() {
	for _, f := range p.known {
		value, given := p.values[f.key]
		delete(p.values, f.key)
		switch {
		case !given && f.required:
			p.problem(f.key, "missing", f.allowed)
		case !given && f.byDefault != nil:
			value, given = f.byDefault, true
		}
		if given && !f.set(p.settings, value) {
			p.problem(f.key, fmt.Sprintf("got %#v", value), f.allowed)
		}
	}
}

// What is allowed in [[peer_keys]]. Two keys may be valid at a time, so that a
// key can be replaced without a moment in which instances refuse each other.
const (
	allowedKeyCount  = "1 or 2 tables [[peer_keys]]"
	allowedKeyID     = "1 to 255, different for each key"
	allowedKeySecret = "32 to 128 printable characters"
	allowedKeyTable  = "a table with the keys id and secret"
)

var keySecretPattern = regexp.MustCompile(`^[!-~]{32,128}$`)

func (p *parser[S]) peerKeys() (keys []PeerKey) {
	value, given := p.values["peer_keys"]
	delete(p.values, "peer_keys")
	list, ok := value.([]any)
	if !given || !ok || len(list) < 1 || len(list) > 2 {
		p.problem("peer_keys", fmt.Sprintf("got %d", len(list)), allowedKeyCount)
	}
	seen := map[int64]bool{}
	for i, entry := range list {
		prefix := fmt.Sprintf("peer_keys[%d]", i)
		table, ok := entry.(map[string]any)
		if !ok {
			p.problem(prefix, fmt.Sprintf("got %T", entry), allowedKeyTable)
			continue
		}
		id, _ := table["id"].(int64)
		if id < 1 || id > math.MaxUint8 || seen[id] {
			p.problem(prefix+".id", fmt.Sprintf("got %#v", table["id"]), allowedKeyID)
		}
		seen[id] = true
		secret, _ := table["secret"].(string)
		if !keySecretPattern.MatchString(secret) {
			// The secret itself must not appear in a message or log.
			p.problem(prefix+".secret", fmt.Sprintf("got %d characters", len(secret)), allowedKeySecret)
		}
		for key := range table {
			if key != "id" && key != "secret" {
				p.problem(prefix+"."+key, "unknown key", allowedKeyTable)
			}
		}
		keys = append(keys, PeerKey{ID: uint8(id), Secret: []byte(secret)})
	}
	return keys
}

// combinations checks values that depend on each other.
func combinations(p *parser[Settings]) {
	s := p.settings
	if s.Shutdown.Notice >= s.Shutdown.Drain && s.Shutdown.Drain > 0 {
		p.problem("shutdown.notice_ms", fmt.Sprintf("got %d", s.Shutdown.Notice.Milliseconds()),
			fmt.Sprintf("below shutdown.drain_ms (%d)", s.Shutdown.Drain.Milliseconds()))
	}
	if s.Requests.TenantBytes > s.Requests.InFlightBytes {
		p.problem("requests.tenant_bytes", fmt.Sprintf("got %d", s.Requests.TenantBytes),
			fmt.Sprintf("at most requests.in_flight_bytes (%d)", s.Requests.InFlightBytes))
	}
	for _, pair := range []struct {
		key    string
		listen bool
	}{
		{"flows", s.Listen.Flows.Addr().IsUnspecified() && !s.Advertise.Flows.IsValid()},
		{"peers", s.Listen.Peers.Addr().IsUnspecified() && !s.Advertise.Peers.IsValid()},
		{"requests", s.Listen.Requests.Addr().IsUnspecified() && !s.Advertise.Requests.IsValid()},
	} {
		if pair.listen {
			p.problem("advertise."+pair.key, "missing",
				"required when listen."+pair.key+" is an unspecified address, which peers cannot reach")
		}
	}
}

// unknown reports the keys that no field used.
func (p *parser[S]) unknown() {
	keys := make([]string, 0, len(p.values))
	for key := range p.values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		p.problem(key, "unknown key", "the keys listed in "+p.manual)
	}
}
