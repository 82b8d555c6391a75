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
	// ErrInvalid means that the file was read but its settings are not valid.
	ErrInvalid = merry.Sentinel("invalid settings")
	// ErrUnreadable means that the file could not be read.
	ErrUnreadable = merry.Sentinel("cannot read settings")
)

// Problem is one value or key that is not allowed. The names of the fields are part
// of the JSON output of savoryctl.
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

// Parse decodes and checks the contents of a settings file. The file name is only
// used in messages. The error is an InvalidError.
func Parse(file string, data []byte) (*Settings, error) {
	p, err := newParser(file, data, fields, "docs/OPERATIONS.md")
	if err != nil {
		return nil, err
	}
	p.settings.PeerKeys = p.readPeerKeys()
	p.readFields()
	checkCombinations(p)
	return p.result()
}

type parser[S any] struct {
	file        string
	knownFields []field[S]
	manualPage  string // documentation page that lists the keys
	settings    *S
	values      map[string]any // by dotted key, without the keys already read
	problems    []Problem
}

// newParser decodes the TOML syntax of a file.
func newParser[S any](file string, data []byte, knownFields []field[S], manualPage string) (*parser[S], error) {
	tree := map[string]any{}
	if err := toml.Unmarshal(data, &tree); err != nil {
		position := "syntax"
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			row, column := syntax.Position()
			position = fmt.Sprintf("line %d, column %d", row, column)
		}
		return nil, &InvalidError{Problems: []Problem{{file, position, err.Error(), "TOML 1.0"}}}
	}
	p := &parser[S]{file: file, knownFields: knownFields, manualPage: manualPage, settings: new(S), values: map[string]any{}}
	p.flatten("", tree)
	return p, nil
}

// result returns the settings, or an InvalidError with all problems.
func (p *parser[S]) result() (*S, error) {
	p.reportUnknownKeys()
	if len(p.problems) > 0 {
		return nil, &InvalidError{Problems: p.problems}
	}
	return p.settings, nil
}

func (p *parser[S]) addProblem(key, got, allowed string) {
	p.problems = append(p.problems, Problem{p.file, key, got, allowed})
}

// flatten stores the values of a TOML table by their dotted keys.
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

// isTable reports whether the key names a table that contains known keys.
func (p *parser[S]) isTable(key string) bool {
	for _, f := range p.knownFields {
		if strings.HasPrefix(f.key, key+".") {
			return true
		}
	}
	return false
}

func (p *parser[S]) readFields() {
	for _, f := range p.knownFields {
		value, given := p.values[f.key]
		delete(p.values, f.key)
		switch {
		case !given && f.required:
			p.addProblem(f.key, "missing", f.allowed)
		case !given && f.defaultValue != nil:
			value, given = f.defaultValue, true
		}
		if given && !f.set(p.settings, value) {
			p.addProblem(f.key, fmt.Sprintf("got %#v", value), f.allowed)
		}
	}
}

// Descriptions of the allowed values in [[peer_keys]]. Two keys may be valid at
// the same time, so that a key can be rotated while the instances continue to
// accept each other's messages.
const (
	allowedKeyCount  = "1 or 2 tables [[peer_keys]]"
	allowedKeyID     = "1 to 255, different for each key"
	allowedKeySecret = "32 to 128 printable characters"
	allowedKeyTable  = "a table with the keys id and secret"
)

var keySecretPattern = regexp.MustCompile(`^[!-~]{32,128}$`)

func (p *parser[S]) readPeerKeys() (keys []PeerKey) {
	value, given := p.values["peer_keys"]
	delete(p.values, "peer_keys")
	list, ok := value.([]any)
	if !given || !ok || len(list) < 1 || len(list) > 2 {
		p.addProblem("peer_keys", fmt.Sprintf("got %d", len(list)), allowedKeyCount)
	}
	seen := map[int64]bool{}
	for i, entry := range list {
		prefix := fmt.Sprintf("peer_keys[%d]", i)
		table, ok := entry.(map[string]any)
		if !ok {
			p.addProblem(prefix, fmt.Sprintf("got %T", entry), allowedKeyTable)
			continue
		}
		id, _ := table["id"].(int64)
		if id < 1 || id > math.MaxUint8 || seen[id] {
			p.addProblem(prefix+".id", fmt.Sprintf("got %#v", table["id"]), allowedKeyID)
		}
		seen[id] = true
		secret, _ := table["secret"].(string)
		if !keySecretPattern.MatchString(secret) {
			// The secret itself must not appear in a message or log.
			p.addProblem(prefix+".secret", fmt.Sprintf("got %d characters", len(secret)), allowedKeySecret)
		}
		for key := range table {
			if key != "id" && key != "secret" {
				p.addProblem(prefix+"."+key, "unknown key", allowedKeyTable)
			}
		}
		keys = append(keys, PeerKey{ID: uint8(id), Secret: []byte(secret)})
	}
	return keys
}

// checkCombinations checks values whose limits depend on other values.
func checkCombinations(p *parser[Settings]) {
	s := p.settings
	if s.Shutdown.Notice >= s.Shutdown.Drain && s.Shutdown.Drain > 0 {
		p.addProblem("shutdown.notice_ms", fmt.Sprintf("got %d", s.Shutdown.Notice.Milliseconds()),
			fmt.Sprintf("below shutdown.drain_ms (%d)", s.Shutdown.Drain.Milliseconds()))
	}
	if s.Requests.TenantBytes > s.Requests.InFlightBytes {
		p.addProblem("requests.tenant_bytes", fmt.Sprintf("got %d", s.Requests.TenantBytes),
			fmt.Sprintf("at most requests.in_flight_bytes (%d)", s.Requests.InFlightBytes))
	}
	for _, endpoint := range []struct {
		key         string
		unreachable bool
	}{
		{"flows", s.Listen.Flows.Addr().IsUnspecified() && !s.Advertise.Flows.IsValid()},
		{"peers", s.Listen.Peers.Addr().IsUnspecified() && !s.Advertise.Peers.IsValid()},
		{"requests", s.Listen.Requests.Addr().IsUnspecified() && !s.Advertise.Requests.IsValid()},
	} {
		if endpoint.unreachable {
			p.addProblem("advertise."+endpoint.key, "missing",
				"required when listen."+endpoint.key+" is an unspecified address, which peers cannot reach")
		}
	}
}

// reportUnknownKeys adds a problem for each key that is not in the list of fields.
func (p *parser[S]) reportUnknownKeys() {
	keys := make([]string, 0, len(p.values))
	for key := range p.values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		p.addProblem(key, "unknown key", "the keys listed in "+p.manualPage)
	}
}
