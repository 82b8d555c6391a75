package steering

import (
	"math"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Windows of the answers of a server. Instances see 0.5 to 1 answers per second of each server of
// their zone, so 30 s hold enough for one of them alone.
const (
	answerWindow  = 10 * time.Second
	answerWindows = 3
	// windowFading is the weight of a window relative to the next newer one.
	windowFading = 0.5
)

// Moving averages of a route and of a network path.
const (
	// logTimeWeight is the weight of a new response time in the usual one of its route.
	logTimeWeight = 0.02
	// pathIncrease is the weight of a handshake time above the current estimate. Lower ones replace
	// the estimate, because a handshake takes the time of the path or more.
	pathIncrease = 1.0 / 64
	// maxPathShare limits which part of a response time is subtracted as network time.
	maxPathShare = 0.9
	// flowFading is the factor per sweep of the counts of flows and requests, for a mean
	// over the last minute.
	flowFading = 1 - float64(sweepInterval)/float64(time.Minute)
	// longFlowRequests is the mean number of requests per flow above which the flows of a
	// route are long.
	longFlowRequests = 2
	// minFlows is the least faded number of flows or requests for which their ratio is used.
	minFlows = 5
)

// Expected relative response time of a server.
const (
	// minSpeedSamples is the number of answers below which a server counts as average.
	minSpeedSamples = 5
	// averageSamples is the number of answers of usual length that are added to the measured ones.
	// The logarithms of single response times have a standard deviation of about 1, so the mean
	// of few is uncertain by more than the speeds of servers differ.
	averageSamples = 5
)

// answers sums the answers of a server. logTime is the sum of logarithms of relative response
// times over the answers that did not fail.
type answers struct {
	count, failed, logTime float64
}

// add adds answers with a weight.
func (a *answers) add(o *answers, weight float64) {
	a.count += weight * o.count
	a.failed += weight * o.failed
	a.logTime += weight * o.logTime
}

// relativeTime returns the expected response time of the server relative to the usual one.
func (a *answers) relativeTime() float64 {
	n := a.count - a.failed
	if n < minSpeedSamples {
		return 1
	}
	return math.Exp(a.logTime / (n + averageSamples))
}

// failedShare returns the share of failed answers, or 0 without any answer.
func (a *answers) failedShare() float64 {
	if a.count == 0 {
		return 0
	}
	return a.failed / a.count
}

// measured holds the answers of a server that this instance saw. It takes 88 bytes.
type measured struct {
	windows   [answerWindows]answers // newest first
	startedAt model.Time             // of the newest window
	lastAt    model.Time             // of the last answer
}

// advance drops the windows that have ended.
func (m *measured) advance(now model.Time) {
	n := now.Sub(m.startedAt) / answerWindow
	if n <= 0 {
		return
	}
	if n >= answerWindows {
		m.windows, m.startedAt = [answerWindows]answers{}, now
		return
	}
	m.startedAt = m.startedAt.Add(n * answerWindow)
	copy(m.windows[n:], m.windows[:])
	clear(m.windows[:n])
}

// see records an answer. logTime is ignored if it failed.
func (m *measured) see(now model.Time, logTime float64, failed bool) {
	m.advance(now)
	m.lastAt = now
	w := &m.windows[0]
	w.count++
	if failed {
		w.failed++
	} else {
		w.logTime += logTime
	}
}

// sum returns the faded sum of the answers of the last 30 s.
func (m *measured) sum(now model.Time) answers {
	m.advance(now)
	var sum answers
	weight := 1.0
	for i := range m.windows {
		sum.add(&m.windows[i], weight)
		weight *= windowFading
	}
	return sum
}

// routeOfService identifies requests that usually take a similar time.
type routeOfService struct {
	route   Endpoint
	service string
}

// routeMeasure is what is usual for the requests of one route at one service.
type routeMeasure struct {
	size answerSize
	// logTime is the moving mean of the logarithms of the response times in seconds, without the
	// time on the network. times is the number of them, up to minAnswerSizes.
	logTime float64
	times   int
	// requests and flows count the answered requests and the new flows of the last minute.
	requests, flows float64
}

// seeTime records the response time of a successful request and returns its logarithm relative to
// the usual one. ok is false until enough of them are known.
func (r *routeMeasure) seeTime(d time.Duration) (relative float64, ok bool) {
	x := math.Log(d.Seconds())
	if r.times < minAnswerSizes {
		r.times++
		r.logTime += (x - r.logTime) / float64(r.times)
		return 0, false
	}
	relative = x - r.logTime
	r.logTime += logTimeWeight * relative
	return relative, true
}

// requestsPerFlow returns the mean number of requests per flow, or 0 until it is known. Flows that
// other instances opened count with their requests only.
func (r *routeMeasure) requestsPerFlow() float64 {
	if max(r.flows, r.requests) < minFlows {
		return 0
	}
	return r.requests / max(r.flows, 1)
}

// usualTime returns the usual response time, or 0 until it is known.
func (r *routeMeasure) usualTime() time.Duration {
	if r == nil || r.times < minAnswerSizes {
		return 0
	}
	return time.Duration(math.Exp(r.logTime) * float64(time.Second))
}

// pathTime estimates the time on the network from this instance over the servers of a zone and
// their callers back to it.
type pathTime struct{ time time.Duration }

// see records the time of a handshake.
func (p *pathTime) see(d time.Duration) {
	if p.time == 0 || d < p.time {
		p.time = d
	} else {
		p.time += time.Duration(pathIncrease * float64(d-p.time))
	}
}

// without returns a response time without the time on the network.
func (p *pathTime) without(d time.Duration) time.Duration {
	d -= min(p.time, time.Duration(maxPathShare*float64(d)))
	return max(d, time.Microsecond) // the clock may not advance between two packets
}

// routeMeasure returns what is usual for a route at a service, or nil if the configuration lacks
// the route.
func (s *Steerer) routeMeasure(route Endpoint, service string) *routeMeasure {
	key := routeOfService{route, service}
	r := s.routes[key]
	if r == nil && s.snapshot.Routes[route] != nil {
		r = &routeMeasure{}
		s.routes[key] = r
	}
	return r
}

// pathTo returns the path to the servers of a zone.
func (s *Steerer) pathTo(zone model.Zone) *pathTime {
	p := s.paths[zone]
	if p == nil {
		p = &pathTime{}
		s.paths[zone] = p
	}
	return p
}

// seeAnswer records the answer to the request of a flow and describes it in the decision.
func (s *Steerer) seeAnswer(f *flow, route Endpoint, bytes uint32, now model.Time, decision *Decision) {
	t := f.target
	decision.ResponseTime = now.Sub(f.sentAt)
	logTime, ok := 0.0, false
	if r := s.routeMeasure(route, t.server.Service); r != nil {
		r.requests++
		decision.AnswerFailed = r.size.see(bytes)
		if !decision.AnswerFailed {
			logTime, ok = r.seeTime(t.path.without(decision.ResponseTime))
		}
		if ok || decision.AnswerFailed {
			t.measured.see(now, logTime, decision.AnswerFailed)
		}
	}
	s.load.answered(f, decision, logTime, ok)
}

// seeFlow counts a new flow of a route.
func (s *Steerer) seeFlow(f *flow, route Endpoint) {
	if r := s.routeMeasure(route, f.target.server.Service); r != nil {
		r.flows++
	}
}

// fadeRoutes fades the counts of flows and requests and forgets the routes that the configuration
// no longer has.
func (s *Steerer) fadeRoutes() {
	for key, r := range s.routes {
		if s.snapshot.Routes[key.route] == nil {
			delete(s.routes, key)
			continue
		}
		r.requests *= flowFading
		r.flows *= flowFading
	}
}
