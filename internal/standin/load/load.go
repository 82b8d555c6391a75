// Package load opens feeds and sends requests as the callers of a deployment do,
// and at the end compares what callers were told with what the backend
// stand-ins recorded.
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
	// rampUp spreads the opening of the long feeds.
	rampUp = 3 * time.Second
	// shortFeedHold is how long a short feed stays open.
	shortFeedHold = 2 * time.Second
	listInterval  = 500 * time.Millisecond
	// settle is the time between the last request and the reading of records,
	// in which late runs would still appear.
	settle = time.Second
)

// Options name the other processes and the size of the load.
type Options struct {
	Deployment string
	Fabric     string
	Platform   string
	Backend    string
	Duration   time.Duration
	// WarmUp is the time before the first feed opens. All servers of a new fleet
	// are cold; feeds stay where they open, so their balance would show the cold
	// start instead of the choice of servers.
	WarmUp time.Duration
	Seed   uint64
	// Scale multiplies the rates of requests.
	Scale float64
	// Unplanned accepts broken flows and interrupted requests: the run contains crashes.
	Unplanned bool
	// MinService is the smallest accepted share of completed operations.
	MinService float64
}

// Load is one run. The ledger goroutine owns the results, a control goroutine
// publishes the instance list, and each feed and operation has a goroutine.
type Load struct {
	options    Options
	deployment *deployment.Deployment
	fabric     netip.AddrPort
	targets    atomic.Pointer[[]string]
	client     *http.Client
	results    chan any
	workers    sync.WaitGroup
}

// Run sends the load and returns the report.
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

	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go l.watch(watching)
	ledger := newLedger(time.Now())
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for r := range l.results {
			ledger.add(r)
		}
	}()

	sending, stop := context.WithTimeout(ctx, options.Duration)
	defer stop()
	for i := range d.Services {
		l.startService(ctx, sending, &d.Services[i], uint64(i+1)*1_000_000)
	}
	<-sending.Done()
	l.workers.Wait()
	close(l.results)
	<-collected
	defer ledger.close()
	time.Sleep(settle)
	records, err := l.records(ctx)
	if err != nil {
		return nil, err
	}
	return judge(options, d, ledger, records), nil
}

// random returns a generator of its own for each worker, so that the seed
// decides what each of them does whatever the order of the goroutines.
func (l *Load) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(l.options.Seed, stream)) }

func (l *Load) startService(ctx, sending context.Context, service *deployment.Service, stream uint64) {
	for i := range service.LongFeeds {
		l.workers.Go(func() { l.longFeed(sending, service, l.random(stream+uint64(i))) })
	}
	if service.ShortFeedRate > 0 {
		l.workers.Go(func() { l.shortFeeds(sending, service, stream+100_000) })
	}
	for i := range service.Kinds {
		l.workers.Go(func() { l.operations(ctx, sending, service, &service.Kinds[i], stream+200_000*uint64(i+1)) })
	}
}

// longFeed holds a feed open for the whole run and opens it again if it ends.
func (l *Load) longFeed(sending context.Context, service *deployment.Service, random *rand.Rand) {
	sleep(sending, l.options.WarmUp+time.Duration(random.Int64N(int64(rampUp))))
	for sending.Err() == nil {
		l.results <- runFeed(sending, l.fabric, service, 0, random)
	}
}

func (l *Load) shortFeeds(sending context.Context, service *deployment.Service, stream uint64) {
	random := l.random(stream)
	sleep(sending, l.options.WarmUp)
	for n := uint64(1); sleep(sending, arrival(random, service.ShortFeedRate)); n++ {
		own := l.random(stream + n)
		l.workers.Go(func() { l.results <- runFeed(sending, l.fabric, service, shortFeedHold, own) })
	}
}

// operations starts requests at random times, whether or not earlier ones have
// been answered.
func (l *Load) operations(ctx, sending context.Context, service *deployment.Service, kind *deployment.RequestKind, stream uint64) {
	random := l.random(stream)
	body := make([]byte, kind.BodySize)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	for n := uint64(1); sleep(sending, arrival(random, kind.Rate*l.options.Scale)); n++ {
		o := &operation{service: service, kind: kind, client: l.client, targets: func() []string { return *l.targets.Load() },
			random: l.random(stream + n), id: fmt.Sprintf("%s-%d-%d", kind.Name, l.options.Seed, n), body: body}
		l.workers.Go(func() { l.results <- o.run(ctx) })
	}
}

// arrival returns the time to the next event of a Poisson process.
func arrival(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// sleep reports whether the whole time passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// watch publishes the request addresses of the live instances.
func (l *Load) watch(ctx context.Context) {
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
		if !sleep(ctx, listInterval) {
			return
		}
	}
}

func (l *Load) records(ctx context.Context) ([]backend.Record, error) {
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
