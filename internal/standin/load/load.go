// Package load opens feeds and sends requests as the callers of a deployment do.
// At the end it compares the outcomes that callers received with the records of
// the backend stand-ins and reports every broken promise: every violation of a
// guarantee that the system gives to callers and operators.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/standin/backend"
	"github.com/savorytiller/savorytiller/internal/standin/deployment"
	"github.com/savorytiller/savorytiller/internal/standin/fabric"
)

const (
	// rampUp is the time over which the opening of the long feeds is spread.
	rampUp = 3 * time.Second
	// shortFeedHold is how long a short feed stays open.
	shortFeedHold = 2 * time.Second
	// instanceListInterval is the time between two reads of the instance list.
	instanceListInterval = 500 * time.Millisecond
	// settleTime is the time between the last request and the reading of the
	// records, so that late runs are recorded too.
	settleTime = time.Second
)

// Options are the addresses of the other processes and the size of the load.
type Options struct {
	Deployment string
	Fabric     string
	Platform   string
	Backend    string
	Duration   time.Duration
	// WarmUp is the time before the first feed opens. All servers of a new deployment
	// are cold, and a feed stays on the server that it opened on, so the balance of
	// earlier feeds would show the cold start instead of the choice of servers.
	WarmUp time.Duration
	Seed   uint64
	// Scale multiplies the rates of requests.
	Scale float64
	// Unplanned accepts broken flows and interrupted requests, for runs with crashes.
	Unplanned bool
	// MinService is the smallest accepted share of completed operations and of
	// opened feeds, from 0 to 1.
	MinService float64
}

// Load is one run. One goroutine collects the results, a control goroutine
// publishes the instance list, and each feed and operation has its own goroutine.
type Load struct {
	options    Options
	deployment *deployment.Deployment
	fabric     netip.AddrPort
	targets    atomic.Pointer[[]string] // request addresses of the live instances
	client     *http.Client
	results    chan any
	senders    sync.WaitGroup
}

// Run sends the load for the given duration and returns the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	d, err := deployment.Get(options.Deployment)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(options.Fabric)
	if err != nil {
		return nil, merry.Prependf(err, "fabric address %q", options.Fabric)
	}
	l := &Load{options: options, deployment: d, fabric: address, results: make(chan any, 4096),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
	l.targets.Store(&[]string{})

	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go l.watchInstances(watchCtx)
	collected := newRunResults(time.Now())
	collectorDone := make(chan struct{})
	go func() {
		defer close(collectorDone)
		for r := range l.results {
			collected.add(r)
		}
	}()

	sendCtx, stopSending := context.WithTimeout(ctx, options.Duration)
	defer stopSending()
	for i := range d.Services {
		l.startService(ctx, sendCtx, &d.Services[i], uint64(i+1)*1_000_000)
	}
	<-sendCtx.Done()
	l.senders.Wait()
	close(l.results)
	<-collectorDone
	defer collected.close()
	time.Sleep(settleTime)
	records, err := l.fetchRecords(ctx)
	if err != nil {
		return nil, err
	}
	return evaluate(options, d, collected, records), nil
}

// random returns a random generator for one goroutine. Each has its own stream, so
// that its choices depend on the seed only and not on the order of the goroutines.
func (l *Load) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(l.options.Seed, stream)) }

// startService starts the traffic of a service, which ends with sendCtx; operations
// that are in progress then continue on ctx. stream is the number of the service's
// first random stream: long feeds count from there, short feeds from 100,000 and the
// operations of each request kind from a multiple of 200,000 after it.
func (l *Load) startService(ctx, sendCtx context.Context, service *deployment.Service, stream uint64) {
	for i := range service.LongFeeds {
		l.senders.Go(func() { l.keepFeedOpen(sendCtx, service, l.random(stream+uint64(i))) })
	}
	if service.ShortFeedRate > 0 {
		l.senders.Go(func() { l.openShortFeeds(sendCtx, service, stream+100_000) })
	}
	for i := range service.Kinds {
		l.senders.Go(func() { l.startOperations(ctx, sendCtx, service, &service.Kinds[i], stream+200_000*uint64(i+1)) })
	}
}

// keepFeedOpen keeps one long feed open until the context ends and reopens it if
// it breaks.
func (l *Load) keepFeedOpen(sendCtx context.Context, service *deployment.Service, random *rand.Rand) {
	sleep(sendCtx, l.options.WarmUp+time.Duration(random.Int64N(int64(rampUp))))
	for sendCtx.Err() == nil {
		l.results <- runFeed(sendCtx, l.fabric, service, 0, random)
	}
}

// openShortFeeds opens short feeds at random times, at the rate of the service.
func (l *Load) openShortFeeds(sendCtx context.Context, service *deployment.Service, stream uint64) {
	random := l.random(stream)
	sleep(sendCtx, l.options.WarmUp)
	for n := uint64(1); sleep(sendCtx, interArrivalTime(random, service.ShortFeedRate)); n++ {
		feedRandom := l.random(stream + n)
		l.senders.Go(func() { l.results <- runFeed(sendCtx, l.fabric, service, shortFeedHold, feedRandom) })
	}
}

// startOperations starts operations at random times, whether or not earlier ones
// have completed.
func (l *Load) startOperations(ctx, sendCtx context.Context, service *deployment.Service, kind *deployment.RequestKind, stream uint64) {
	random := l.random(stream)
	body := make([]byte, kind.BodySize)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	for n := uint64(1); sleep(sendCtx, interArrivalTime(random, kind.Rate*l.options.Scale)); n++ {
		o := &operation{service: service, kind: kind, client: l.client, targets: func() []string { return *l.targets.Load() },
			random: l.random(stream + n), id: fmt.Sprintf("%s-%d-%d", kind.Name, l.options.Seed, n), body: body}
		l.senders.Go(func() { l.results <- o.run(ctx) })
	}
}

// interArrivalTime returns the time to the next event of a Poisson process with the
// given rate per second.
func interArrivalTime(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// sleep waits and reports whether the time passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// watchInstances reads the instance list periodically and publishes the request
// addresses of the live instances. After a failed read the last ones stay in use.
func (l *Load) watchInstances(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	for {
		if list, err := fabric.FetchInstances(ctx, client, l.options.Platform); err == nil {
			var targets []string
			for _, instance := range list.Instances {
				if instance.State == "live" {
					targets = append(targets, instance.RequestAddress)
				}
			}
			l.targets.Store(&targets)
		}
		if !sleep(ctx, instanceListInterval) {
			return
		}
	}
}

// fetchRecords reads the records of all servers from the backend stand-in.
func (l *Load) fetchRecords(ctx context.Context) ([]backend.Record, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.options.Backend+"/records", nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, merry.Prepend(err, "backend records")
	}
	defer response.Body.Close()
	var records []backend.Record
	if err := json.NewDecoder(response.Body).Decode(&records); err != nil {
		return nil, merry.Prepend(err, "backend records")
	}
	return records, nil
}
