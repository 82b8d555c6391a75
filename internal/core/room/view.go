package room

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Parameters of the view.
const (
	// rateSmoothing is the time over which the rates of the view are averaged. A quarter of a second
	// of a service with 350 requests per second has a standard deviation of a tenth.
	rateSmoothing = time.Second
	// minRate is the rate per second below which a class without load is left out.
	minRate = 0.01
	// baselineWindow, baselineSamples and baselineLifetime define the baseline response time.
	baselineWindow   = time.Second
	baselineSamples  = 20
	baselineLifetime = 60 * time.Second
)

// baseline holds the mean response times of the windows of the last minute.
type baseline struct {
	startedAt model.Time
	current   Counters
	windows   []window
}

// window is the mean response time of a window that ended at the given time.
type window struct {
	at   model.Time
	mean time.Duration
}

// add adds the counters of an interval, and ends the window if it is long enough.
func (b *baseline) add(now model.Time, c *Counters) {
	if b.current.Completed == 0 {
		b.startedAt = now
	}
	b.current.Add(c)
	if now.Sub(b.startedAt) < baselineWindow {
		return
	}
	if b.current.Completed >= baselineSamples {
		b.windows = append(b.windows, window{now, b.current.MeanLatency()})
	}
	b.current = Counters{}
}

// least returns the least mean of the windows of the last minute, or 0 if there are none.
func (b *baseline) least(now model.Time) (least time.Duration) {
	for len(b.windows) > 0 && now.Sub(b.windows[0].at) >= baselineLifetime {
		b.windows = b.windows[1:]
	}
	for _, w := range b.windows {
		if least == 0 || w.mean < least {
			least = w.mean
		}
	}
	return least
}

// history holds what a view needs of earlier sums of all zones.
type history struct {
	baselines map[string]*baseline
	// rates are the smoothed counters per second.
	rates map[Class]Counters
}

// add adds a sum of all zones. afterGap is set if the previous one has expired.
func (h *history) add(now model.Time, r *Report, afterGap bool) {
	perSecond := float64(time.Second) / float64(r.Interval)
	weight := min(1, float64(r.Interval)/float64(rateSmoothing))
	if afterGap {
		weight = 1
	}
	services := map[string]Counters{}
	for class, counters := range r.Classes {
		total := services[class.Service]
		total.Add(&counters)
		services[class.Service] = total
		counters.scale(perSecond)
		rates := h.rates[class]
		rates.scale(1 - weight)
		counters.scale(weight)
		rates.Add(&counters)
		h.rates[class] = rates
	}
	for class, rates := range h.rates {
		if _, ok := r.Classes[class]; ok {
			continue
		}
		rates.scale(1 - weight)
		h.rates[class] = rates
		if rates.Arrivals+rates.Completed+rates.Failed+rates.Refused < minRate {
			delete(h.rates, class)
		}
	}
	for name, total := range services {
		if h.baselines[name] == nil {
			h.baselines[name] = &baseline{}
		}
		h.baselines[name].add(now, &total)
	}
	for name, b := range h.baselines {
		if b.least(now) == 0 && services[name] == (Counters{}) {
			delete(h.baselines, name)
		}
	}
}

// scale multiplies the counters, but not the number in progress, by a factor.
func (c *Counters) scale(factor float64) {
	c.Arrivals *= factor
	c.Completed *= factor
	c.Failed *= factor
	c.Refused *= factor
	c.Latency = time.Duration(float64(c.Latency) * factor)
}

// Slots are the requests that the servers of a service which accept flows run concurrently, by
// service and zone.
type Slots map[string]map[model.Zone]int

// SetFleet sets the sum of all zones that this instance made itself, as the root of the tree of its
// zone.
func (a *Aggregator) SetFleet(now model.Time, self Sender, sum *Report) {
	afterGap := !a.valid(&a.fleet, now)
	a.fleet = source{sender: self, sequence: sum.Sequence, report: sum, at: now, servers: servers{}}
	a.fleet.servers.replace(now, sum.Servers)
	a.history.add(now, sum, afterGap)
}

// ValidUntil returns when the sum of all zones expires unless a newer one arrives, or 0 if it has
// expired.
func (a *Aggregator) ValidUntil(now model.Time) model.Time {
	if !a.valid(&a.fleet, now) {
		return 0
	}
	return a.fleet.at.Add(a.validity(a.fleet.report))
}

// View returns the load of the fleet. liveInZone is the number of live instances of the own zone;
// 0 if it is not known yet or if there are no other instances. The view is usable if it covers half
// of them.
func (a *Aggregator) View(now model.Time, slots Slots, liveInZone int) *View {
	v := &View{At: a.fleet.at, Services: map[string]*Service{}, Servers: map[uint32]ServerLoad{}}
	valid := a.valid(&a.fleet, now)
	if valid {
		v.Instances = a.fleet.report.Zones
	}
	v.Usable = valid && liveInZone > 0 && 2*v.Instances[a.zone] >= liveInZone
	for name, zones := range slots {
		for zone, n := range zones {
			v.zone(name, zone).Slots = n
		}
	}
	if !valid {
		return v
	}
	for class, rates := range a.history.rates {
		rates.InProgress = a.fleet.report.Classes[class].InProgress
		z := v.zone(class.Service, class.Zone)
		z.Total.Add(&rates)
		z.ByPriority[class.Priority] = rates
	}
	for name, s := range v.Services {
		if b := a.history.baselines[name]; b != nil {
			s.BaseLatency = b.least(now)
		}
	}
	a.fleet.servers.expire(now)
	a.fleet.servers.addTo(v.Servers, now)
	return v
}

// zone returns the load of a service in a zone and creates it if necessary.
func (v *View) zone(service string, zone model.Zone) *Zone {
	s := v.Services[service]
	if s == nil {
		s = &Service{Zones: map[model.Zone]*Zone{}}
		v.Services[service] = s
	}
	z := s.Zones[zone]
	if z == nil {
		z = &Zone{Instances: v.Instances[zone], ByPriority: map[uint8]Counters{}}
		s.Zones[zone] = z
	}
	return z
}
