package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// field describes one key of a settings file.
type field[S any] struct {
	key      string
	allowed  string // description of the allowed values, for messages
	required bool
	// defaultValue is the TOML value of a key that is not in the file; nil leaves
	// the zero value.
	defaultValue any
	// set stores a TOML value in the settings and reports whether it is allowed.
	set func(s *S, value any) bool
}

// fields lists all keys except those in [[peer_keys]].
var fields = []field[Settings]{
	identifier("instance.id", func(s *Settings, v string) { s.Instance.ID = model.InstanceID(v) }),
	identifier("instance.zone", func(s *Settings, v string) { s.Instance.Zone = model.Zone(v) }),

	address("listen.flows", true, func(s *Settings) *netip.AddrPort { return &s.Listen.Flows }),
	address("listen.peers", true, func(s *Settings) *netip.AddrPort { return &s.Listen.Peers }),
	address("listen.requests", true, func(s *Settings) *netip.AddrPort { return &s.Listen.Requests }),
	address("listen.operators", true, func(s *Settings) *netip.AddrPort { return &s.Listen.Operators }),
	address("advertise.flows", false, func(s *Settings) *netip.AddrPort { return &s.Advertise.Flows }),
	address("advertise.peers", false, func(s *Settings) *netip.AddrPort { return &s.Advertise.Peers }),
	address("advertise.requests", false, func(s *Settings) *netip.AddrPort { return &s.Advertise.Requests }),

	{key: "platform.url", allowed: "an http URL with an IP address and a port, without path",
		required: true, set: setPlatformURL},

	integer("flows.shards", 2, 1, 64, func(s *Settings) *int { return &s.Flows.Shards }),
	integer("flows.table_entries", 262_144, 1024, 4_194_304, func(s *Settings) *int { return &s.Flows.TableEntries }),
	integer("flows.queue_packets", 4096, 64, 65_536, func(s *Settings) *int { return &s.Flows.QueuePackets }),

	integer("requests.max_connections", 4096, 1, 65_536, func(s *Settings) *int { return &s.Requests.MaxConnections }),
	integer("requests.in_flight_bytes", 256<<20, 1<<20, 64<<30, func(s *Settings) *int64 { return &s.Requests.InFlightBytes }),
	integer("requests.tenant_bytes", 64<<20, 1<<20, 64<<30, func(s *Settings) *int64 { return &s.Requests.TenantBytes }),
	milliseconds("requests.queue_wait_ms", 50, 1, 10_000, func(s *Settings) *time.Duration { return &s.Requests.QueueWait }),
	integer("requests.queue_length", 64, 1, 4096, func(s *Settings) *int { return &s.Requests.QueueLength }),
	integer("requests.dedup_keys", 100_000, 1000, 10_000_000, func(s *Settings) *int { return &s.Requests.DedupKeys }),

	hedgeLimit(func(s *Settings) *float64 { return &s.Hedge.Limit }),

	milliseconds("shutdown.notice_ms", 2000, 0, 60_000, func(s *Settings) *time.Duration { return &s.Shutdown.Notice }),
	milliseconds("shutdown.drain_ms", 30_000, 100, 600_000, func(s *Settings) *time.Duration { return &s.Shutdown.Drain }),

	logLevel(func(s *Settings) *string { return &s.Log.Level }),
	integer("metrics.decisions", 1024, 16, 65_536, func(s *Settings) *int { return &s.Metrics.Decisions }),
}

// identifierPattern keeps identifiers short and free of separators, because they
// are part of URLs, log lines and hash inputs.
var identifierPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

// identifier returns a required field with a text that matches identifierPattern.
func identifier[S any](key string, store func(s *S, v string)) field[S] {
	return field[S]{key: key, allowed: "1 to 64 characters a-z, 0-9, '-' and '.', no '-' or '.' at either end",
		required: true, set: func(s *S, v any) bool {
			text, ok := v.(string)
			store(s, text)
			return ok && identifierPattern.MatchString(text)
		}}
}

// address returns a field with an IP address and a port. An optional address must not
// be unspecified, because others connect to it.
func address[S any](key string, required bool, target func(s *S) *netip.AddrPort) field[S] {
	allowed := "an IP address and a port, for example 127.0.0.1:4101; port 0 lets the system choose"
	if !required {
		allowed = "an IP address that peers can reach and a port; port 0 means the listening port"
	}
	return field[S]{key: key, allowed: allowed, required: required, set: func(s *S, v any) bool {
		text, _ := v.(string)
		parsed, err := netip.ParseAddrPort(text)
		*target(s) = parsed
		return err == nil && (required || !parsed.Addr().IsUnspecified())
	}}
}

// integer returns a field with an integer from lo to hi.
func integer[S any, T int | int64](key string, defaultValue, lo, hi int64, target func(s *S) *T) field[S] {
	return field[S]{key: key, allowed: fmt.Sprintf("%d to %d", lo, hi), defaultValue: defaultValue,
		set: func(s *S, v any) bool {
			n, ok := v.(int64)
			if !ok || n < lo || n > hi || n > math.MaxInt {
				return false
			}
			*target(s) = T(n)
			return true
		}}
}

// decimal returns a field with a number from lo to hi, with or without a fraction.
func decimal[S any](key string, defaultValue, lo, hi float64, target func(s *S) *float64) field[S] {
	return field[S]{key: key, allowed: fmt.Sprintf("a number from %g to %g", lo, hi), defaultValue: defaultValue, set: func(s *S, v any) bool {
		n, ok := v.(float64)
		if integral, isIntegral := v.(int64); isIntegral {
			n, ok = float64(integral), true
		}
		*target(s) = n
		return ok && n >= lo && n <= hi
	}}
}

// boolean returns a field that is true or false.
func boolean[S any](key string, defaultValue bool, target func(s *S) *bool) field[S] {
	return field[S]{key: key, allowed: "true or false", defaultValue: defaultValue, set: func(s *S, v any) (ok bool) {
		*target(s), ok = v.(bool)
		return ok
	}}
}

// milliseconds returns a field with an integer number of milliseconds from lo to hi.
func milliseconds[S any](key string, defaultValue, lo, hi int64, target func(s *S) *time.Duration) field[S] {
	f := integer(key, defaultValue, lo, hi, func(s *S) *int64 { return (*int64)(target(s)) })
	f.allowed += " ms"
	setMilliseconds := f.set
	f.set = func(s *S, v any) bool {
		if !setMilliseconds(s, v) {
			return false
		}
		*target(s) *= time.Millisecond
		return true
	}
	return f
}

// hedgeLimit returns the field of the share of the requests that may be repeated at a second
// server. More than a fifth would rather need more servers.
func hedgeLimit[S any](target func(s *S) *float64) field[S] {
	return decimal("hedge.limit", 0, 0, 0.2, target)
}

func logLevel[S any](target func(s *S) *string) field[S] {
	return field[S]{key: "log.level", allowed: "one of debug, info, error", defaultValue: "info", set: func(s *S, v any) bool {
		level := target(s)
		*level, _ = v.(string)
		return slices.Contains([]string{"debug", "info", "error"}, *level)
	}}
}

func setPlatformURL(s *Settings, v any) bool {
	text, _ := v.(string)
	s.Platform.URL = strings.TrimSuffix(text, "/")
	u, err := url.Parse(s.Platform.URL)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}
