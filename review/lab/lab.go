// Command lab plays one case of the review: it starts instances of savorysteer as processes and
// stands in for the platform's store and routers, the backend servers and the clients.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// lab is a small deployment on loopback addresses.
type lab struct {
	root, dir                                  string
	trouble                                    bool
	restartOnly                                bool // a restart of the server without the cut, for comparison
	subnet                                     byte
	flowPort, readyPort, peerPort, metricsPort uint16
	store                                      *store
	router                                     *router
	instances                                  []*instance
	servers                                    []*server
	clients                                    []*client

	mu         sync.Mutex
	openings   map[openingKey]sentOpening
	serverOf   map[flowKey]string
	requests   map[string]*request
	gone       map[string]time.Time // when the store acknowledged that a server drains or is gone
	violations map[string]int
	version    uint64
	routes     []map[string]any
	services   []map[string]any
	nextID     uint64
}

type openingKey struct {
	key  flowKey
	copy uint32
}

type sentOpening struct {
	at  time.Time
	via string
}

type request struct {
	sentAt, ranAt time.Time
	runs          int
	result        outcome
}

var errNotReady = errors.New("the deployment did not become ready")

var (
	recordMu    sync.Mutex
	recordFile  *os.File
	recordStart = time.Now()
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		_, _ = fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(recordStart).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (l *lab) addr(group, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.subnet, group, n})
}

// newLab starts the store. All addresses are loopback addresses of a random network 127.x.
func newLab(root, dir string, trouble bool) (*lab, error) {
	l := &lab{root: root, dir: dir, trouble: trouble, openings: map[openingKey]sentOpening{}, requests: map[string]*request{},
		gone: map[string]time.Time{}, serverOf: map[flowKey]string{}, violations: map[string]int{}, store: newStore(), nextID: 0x7f3a9100}
	l.router = &router{lab: l}
	l.subnet = byte(20 + rand.IntN(200))
	for _, p := range []*uint16{&l.flowPort, &l.readyPort, &l.peerPort, &l.metricsPort} {
		c, err := net.Listen("tcp4", l.addr(1, 1).String()+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = c.Close() }()
		*p = uint16(c.Addr().(*net.TCPAddr).Port)
	}
	return l, nil
}

// addInstance adds an instance without starting it.
func (l *lab) addInstance(name, zone string) (*instance, error) {
	n := byte(len(l.instances) + 1)
	i := &instance{lab: l, name: name, zone: zone, addr: l.addr(1, n)}
	i.flows = netip.AddrPortFrom(i.addr, l.flowPort)
	i.storeAddr = netip.AddrPortFrom(l.addr(0, n), l.readyPort)
	l.instances = append(l.instances, i)
	return i, l.store.listen(i.storeAddr.String(), name)
}

// watcher returns the instance that has the latest watch of the store in progress.
func (l *lab) watcher() *instance {
	name := l.store.watcher()
	for _, i := range l.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

// addServer adds a server without starting it.
func (l *lab) addServer(service, zone string, work time.Duration) *server {
	l.nextID += 0x1f
	s := &server{lab: l, ID: fmt.Sprintf("i-%08x", l.nextID), Service: service, Zone: zone, Slots: 4, Work: work,
		Addr: netip.AddrPortFrom(l.addr(3, byte(len(l.servers)+1)), l.flowPort)}
	l.servers = append(l.servers, s)
	return s
}

func (l *lab) addClient(zone string) (*client, error) {
	c, err := newClient(l, zone, l.addr(2, byte(len(l.clients)+1)))
	if err == nil {
		l.clients = append(l.clients, c)
	}
	return c, err
}

// addRoute adds a route to the next configuration and returns its endpoint.
func (l *lab) addRoute(service, kind string) endpoint {
	n := byte(len(l.routes) + 1)
	e := endpoint{netip.AddrFrom4([4]byte{198, 18, 0, n}), 443}
	l.routes = append(l.routes, map[string]any{"Name": fmt.Sprintf("r-%d", n), "Host": e.Addr.String(), "Prefix": "/443/", "Kind": kind,
		"TimeoutMs": 1500, "GoalMs": 250, "Priority": 2, "Service": service, "Attempts": 2})
	return e
}

// configure writes the configuration and returns the time of the acknowledgement.
func (l *lab) configure() time.Time {
	l.version += 3
	at := l.store.put("op/config", map[string]any{"Version": l.version, "Routes": l.routes, "Services": l.services,
		"Limits": map[string]any{"IdleTimeoutMs": 15000}})
	record("operator: version %d with %d routes acknowledged", l.version, len(l.routes))
	return at
}

func (l *lab) violation(rule, format string, args ...any) {
	l.mu.Lock()
	l.violations[rule]++
	l.mu.Unlock()
	record("RULE %s: %s", rule, fmt.Sprintf(format, args...))
}

func (l *lab) noteGone(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone[id].IsZero() {
		l.gone[id] = at
	}
}

func (l *lab) sentOpening(key flowKey, copy uint32, via string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openings[openingKey{key, copy}] = sentOpening{time.Now(), via}
	record("client: SYN %v:%d -> %v:%d copy %d via %s", key.Client.Addr, key.Client.Port, key.Route.Addr, key.Route.Port, copy, via)
}

// openingOf returns when and through which instance the opening packet that a server took was sent.
func (l *lab) openingOf(o opening) sentOpening {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openings[openingKey{o.key, o.copy}]
}

// inTouch reports whether nothing disturbed an instance in the time of contact before a moment.
func (l *lab) inTouch(name string, at time.Time) bool {
	for _, i := range l.instances {
		if i.name == name {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.disturbedAt.Add(contact).Before(at)
		}
	}
	return false
}

// seeds are the machines that the settings name.
func (l *lab) seeds() []*instance { return l.instances[:3] }

func (l *lab) opened(key flowKey, server string) {
	l.mu.Lock()
	l.serverOf[key] = server
	l.mu.Unlock()
	record("server %s: flow %v:%d open", server, key.Client.Addr, key.Client.Port)
}

// server returns the server that has a flow, or nil.
func (l *lab) server(f *clientFlow) *server {
	l.mu.Lock()
	id := l.serverOf[f.key]
	l.mu.Unlock()
	for _, s := range l.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

func (l *lab) sent(id string, key flowKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &request{sentAt: time.Now()}
	record("client: %s sent on %v:%d", id, key.Client.Addr, key.Client.Port)
}

func (l *lab) ran(id string, s *server) {
	l.mu.Lock()
	r := l.requests[id]
	if r != nil {
		r.runs++
		r.ranAt = time.Now()
	}
	l.mu.Unlock()
	record("server %s: ran %s", s.ID, id)
	if r == nil {
		l.violation("UNASKED", "server %s ran %s, which no client sent", s.ID, id)
	}
}

func (l *lab) ended(id string, result outcome, via string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id].result = result
	record("client: %s %s (last packet via %s)", id, result, via)
}

// waitReady waits until all instances are in rotation.
func (l *lab) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		l.router.mu.Lock()
		for _, i := range l.router.nodes {
			all = all && i.inRotation
		}
		l.router.mu.Unlock()
		if all {
			return true
		}
	}
	return false
}

// shutDown ends all processes.
func (l *lab) shutDown() {
	for _, i := range l.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
	}
	for _, i := range l.instances {
		if i.exited != nil {
			select {
			case <-i.exited:
			case <-time.After(5 * time.Second):
			}
		}
	}
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE ROOT FOLDER")
		os.Exit(exitNotRun)
	}
	play, root, folder := cases[os.Args[1]], os.Args[2], os.Args[3]
	dir, err := os.MkdirTemp("", "review-")
	if err == nil {
		recordFile, err = os.Create(filepath.Join(folder, "record.txt"))
	}
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "lab: unknown case or no folder:", err)
		os.Exit(exitNotRun)
	}
	code := run(play, root, dir)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	os.Exit(code)
}

func run(play func(*lab) error, root, dir string) int {
	l, err := newLab(root, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	}
	if os.Getenv("TROUBLE") == "restart" {
		l.trouble, l.restartOnly = false, true
	}
	defer l.shutDown()
	if err := play(l); err != nil {
		record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitNotRun
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	results := map[outcome]int{}
	for _, r := range l.requests {
		results[r.result]++
	}
	record("requests: %v", results)
	record("rules broken: %v", l.violations)
	fmt.Printf("requests %v; rules broken: %v\n", results, l.violations)
	if len(l.violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
