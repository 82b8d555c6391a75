package catalog

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Any program may write to the registry, so an entry names a server only if each of its
// fields is within its range. docs/platform.md lists the ranges with their sources.

// Ranges of the fields of entries.
const (
	// maxNameBytes limits IDs and the names of services, zones and routes. The registry's keys
	// are not longer.
	maxNameBytes = 200
	// maxPathBytes limits the path of a health endpoint.
	maxPathBytes = 2000
	// maxColdFor limits the duration of a cold start.
	maxColdFor = time.Hour
	// maxStarted limits start times in milliseconds, which are exact up to it in every
	// language that encodes numbers as floating point.
	maxStarted = 1 << 53
	// maxWeight limits a share's weight, so that the weights of a route can be added.
	maxWeight = 1_000_000
	// maxColdPerSecond limits a service's rate of new flows to a cold server.
	maxColdPerSecond = 1_000_000
	// maxIdleTimeout limits the idle timeout of flows.
	maxIdleTimeout = 24 * time.Hour
)

// ErrOutOfRange means that a field of an entry is outside its range.
var ErrOutOfRange = merry.Sentinel("out of range")

// errUnusable stands for the reason why an entry is unusable in what other instances get.
var errUnusable = merry.Sentinel("unusable")

// maxReasonBytes limits what is kept of the reason why an entry is unusable.
const maxReasonBytes = 160

// outOfRange returns an ErrOutOfRange that names the field, the beginning of its value, and the
// allowed range.
func outOfRange(field string, value any, allowed string) error {
	return merry.Wrap(ErrOutOfRange, merry.AppendMessagef("%s %.80s is not %s", field, fmt.Sprint(value), allowed))
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return outOfRange(field, name, "a name of 1 to 200 bytes")
	}
	return nil
}

// Check returns an ErrOutOfRange for the first field that is outside its range.
func (e *ServerEntry) Check() error {
	for _, name := range []struct{ field, value string }{{"ID", string(e.ID)}, {"service", e.Service}, {"zone", string(e.Zone)}} {
		if err := checkName(name.field, name.value); err != nil {
			return err
		}
	}
	switch address := e.Address.Addr(); {
	case e.Number == 0:
		return outOfRange("number", e.Number, "positive")
	case !address.Is4() || address.IsUnspecified() || address.IsMulticast() || address == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return outOfRange("address", e.Address, "the IPv4 address of a host")
	case e.Address.Port() == 0:
		return outOfRange("port", e.Address, "1 to 65535")
	case e.Slots < 1 || e.Slots > model.MaxSlots:
		return outOfRange("slots", e.Slots, "1 to 1024")
	case e.Started < 0 || e.Started > maxStarted:
		return outOfRange("start time", e.Started, "0 to 2^53 ms")
	case e.ColdFor < 0 || e.ColdFor > maxColdFor:
		return outOfRange("cold start", e.ColdFor, "0 to 1 h")
	}
	return nil
}

// Check returns an ErrOutOfRange for the first field that is outside its range.
func (c *Configuration) Check() error {
	if c.Version == 0 {
		return outOfRange("version", c.Version, "positive")
	}
	return checkParts(c.IdleTimeout, c.Services, c.Routes)
}

// Check returns an ErrOutOfRange for the first field that is outside its range.
func (d *Delta) Check() error {
	if d.Version <= d.Base {
		return outOfRange("version", d.Version, "after the version that the delta applies to")
	}
	return checkParts(d.IdleTimeout, d.Services, d.Routes)
}

// checkParts checks the parts that a configuration and a delta have in common.
func checkParts(idle time.Duration, services []Service, routes []Route) error {
	if idle < 0 || idle > maxIdleTimeout {
		return outOfRange("idle timeout", idle, "0 to 24 h")
	}
	for i := range services {
		if err := services[i].check(); err != nil {
			return err
		}
	}
	for i := range routes {
		if err := checkRoute(&routes[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) check() error {
	if err := checkName("service", s.Name); err != nil {
		return err
	}
	if len(s.HealthPath) > maxPathBytes {
		return outOfRange("health path of "+s.Name, s.HealthPath, "at most 2000 bytes")
	}
	if !(s.ColdPerSecond >= 0 && s.ColdPerSecond <= maxColdPerSecond) { // NaN is out of range too
		return outOfRange("cold rate of "+s.Name, s.ColdPerSecond, "0 to 1000000 per second")
	}
	if s.ColdTime < 0 || s.ColdTime > maxColdFor {
		return outOfRange("cold time of "+s.Name, s.ColdTime, "0 to 1 h")
	}
	return nil
}

func checkRoute(r *Route) error {
	if len(r.Name) > maxNameBytes {
		return outOfRange("route", r.Name, "a name of at most 200 bytes")
	}
	if r.Endpoint.Port == 0 {
		return outOfRange("port of route "+r.Name, r.Endpoint.Port, "1 to 65535")
	}
	for _, s := range r.Shares {
		if err := checkName("service of route "+r.Name, s.Service); err != nil {
			return err
		}
		if s.Weight < 1 || s.Weight > maxWeight {
			return outOfRange("weight in route "+r.Name, s.Weight, "1 to 1000000")
		}
	}
	return nil
}

// UnusableEntry is a key of the registry whose value is invalid.
type UnusableEntry = steering.UnusableEntry

// maxUnusableEntries limits the unusable entries that are kept for operators.
const maxUnusableEntries = 64

// recordUnusable records that the value of a key is invalid. It returns Ignored, or
// IgnoredAgain if the one before was invalid too or too many are known to keep it.
func (c *Catalog) recordUnusable(now model.Time, e *Entry) Effect {
	known, again := c.unusable[e.Key]
	if !again && len(c.unusable) >= maxUnusableEntries {
		return IgnoredAgain
	}
	if !again {
		known = UnusableEntry{Key: e.Key, Since: now}
	}
	reason := e.Err.Error()
	known.Reason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
	known.Revision = e.Revision
	c.unusable[e.Key] = known
	if again {
		return IgnoredAgain
	}
	return Ignored
}

// UnusableEntries returns the keys whose values are invalid, sorted, at most
// maxUnusableEntries.
func (c *Catalog) UnusableEntries() []UnusableEntry {
	var all []UnusableEntry
	for _, key := range slices.Sorted(maps.Keys(c.unusable)) {
		all = append(all, c.unusable[key])
	}
	return all
}
