package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Properties of the platform's routers.
const (
	readinessInterval = 500 * time.Millisecond
	readinessMisses   = 2
)

// touch is how long a machine and the store must have been undisturbed to be in touch (ContactMs).
const touch = 4 * time.Second

// world is the platform around the project's programs.
type world struct {
	record  *record
	trouble bool
	subnet  byte
	port    uint16
	dir     string // temporary
	program []string
	store   *store
	over    atomic.Bool
	died    atomic.Bool // a process ended by itself
	start   time.Time

	mu       sync.Mutex
	machines []*machine
	servers  []*server
	rotation map[string][]*machine
	sent     map[flowID][]time.Time // of each copy of an opening packet
	asked    map[string]bool        // requests that clients sent
	ran      map[string]int         // how often each request ran
	opened   map[flowID]run         // where each flow opened
	version  uint64
}

// machine is a machine of the system with its process.
type machine struct {
	w        *world
	name     string
	zone     string
	address  netip.Addr
	config   string
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	expected bool
	// disturbedAt is when the process was last started, killed or stopped.
	disturbedAt time.Time
	misses      int
}

func newWorld(r *record, trouble bool) (*world, error) {
	w := &world{record: r, trouble: trouble, subnet: byte(1 + rand.IntN(250)), start: time.Now(), rotation: map[string][]*machine{},
		sent: map[flowID][]time.Time{}, asked: map[string]bool{}, ran: map[string]int{}, opened: map[flowID]run{}}
	var err error
	if w.program, err = runCommand("deploy/system.toml"); err != nil {
		return nil, err
	}
	probe, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.ip(0, 1), 0)))
	if err != nil {
		return nil, err
	}
	w.port = probe.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	_ = probe.Close()
	if w.dir, err = os.MkdirTemp("", "review-rig"); err != nil {
		return nil, err
	}
	if w.store, err = newStore(w.ip(1, 1)); err != nil {
		return nil, err
	}
	r.printf("trouble: %v", trouble)
	return w, nil
}

// runCommand returns the command of the first role of a deploy file.
func runCommand(path string) ([]string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run\s*=\s*"([^"]+)"`).FindStringSubmatch(string(b))
	if m == nil {
		return nil, fmt.Errorf("%s has no command", path)
	}
	return strings.Fields(m[1]), nil
}

func (w *world) ended() bool { return w.over.Load() }

// ip returns a loopback address.
func (w *world) ip(group, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.subnet, group, n})
}

// publish writes the configuration.
func (w *world) publish(routes []*route, coldPerSecond float64) {
	w.store.put("op/config", w.newConfig(routes, coldPerSecond))
	w.record.printf("operator: configuration %d acknowledged", w.version)
}

// newConfig returns the next version of the configuration.
func (w *world) newConfig(routes []*route, coldPerSecond float64) map[string]any {
	w.version += 3
	var list, services []map[string]any
	names := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{"Name": r.name, "Host": r.host.String(), "Prefix": fmt.Sprintf("/%d/", r.port), "Kind": r.kind,
			"TimeoutMs": 2500, "GoalMs": 300, "Priority": 1, "Service": r.service, "Attempts": 2})
		if !names[r.service] {
			names[r.service] = true
			services = append(services, map[string]any{"Name": r.service, "HealthPath": "/health", "ConnLimit": 2000, "Protocol": "h1",
				"Tls": false, "WarmupS": 2.0, "WarmupPerS": coldPerSecond})
		}
	}
	return map[string]any{"Version": w.version, "Routes": list, "Services": services,
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
}

// newRoute returns a route that is in no configuration yet.
func (w *world) newRoute(name, kind, service string, n byte) *route {
	return &route{name, kind, service, w.ip(9, n), 443}
}

// newMachine adds a machine and starts its process. The settings are those of deploy/instance.toml.
func (w *world) newMachine(name, zone string, n byte, linkMbps float64) (*machine, error) {
	m := &machine{w: w, name: name, zone: zone, address: w.ip(2, n), config: filepath.Join(w.dir, name+".toml")}
	seeds := make([]string, 0, 3)
	for i := byte(1); i <= 3; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(w.ip(2, i), w.port+1)))
	}
	settings := fmt.Sprintf("[instance]\nid = %q\nzone = %q\nlink_mbps = %v\n\n[listen]\nflows = %q\nreadiness = %q\npeers = %q\nmetrics = %q\n\n"+
		"[peers]\nseeds = [%s]\n\n[registry]\naddress = %q\n\n[bounds]\nflow_lifetime_s = 60\nconfig_apply_ms = 3000\ndrain_ms = 3000\n"+
		"evacuation_ms = 5000\nstop_grace_s = 6\ncold_margin = 5\n", name, zone, linkMbps, netip.AddrPortFrom(m.address, w.port),
		netip.AddrPortFrom(m.address, w.port), netip.AddrPortFrom(m.address, w.port+1), netip.AddrPortFrom(m.address, w.port+2),
		strings.Join(seeds, ","), w.store.address)
	if err := os.WriteFile(m.config, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	return m, m.run()
}

// run starts the process. What it logs goes to a file beside the record if KEEP_LOGS is set.
func (m *machine) run() error {
	p := exec.Command(m.w.program[0], m.w.program[1:]...)
	p.Env = []string{"SAVORYTILLER_BOOT=" + m.config, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	var log *os.File
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		var err error
		if log, err = os.OpenFile(filepath.Join(dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
		p.Stdout, p.Stderr = log, log
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.exited, m.expected, m.disturbedAt = p, exited, false, time.Now()
	m.w.record.printf("machine %s: process started", m.name)
	go func() {
		err := p.Wait()
		if log != nil {
			_ = log.Close()
		}
		m.mu.Lock()
		if !m.expected && !m.w.ended() {
			m.w.record.printf("machine %s: the process ended by itself: %v", m.name, err)
			m.w.died.Store(true)
		}
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

// exited returns an error if a process has ended by itself.
func (w *world) exited() error {
	if w.died.Load() {
		return errors.New("a process ended by itself")
	}
	return nil
}

// kill kills the process.
func (m *machine) kill() {
	m.mu.Lock()
	m.expected, m.disturbedAt = true, time.Now()
	exited := m.exited
	_ = m.process.Process.Kill()
	m.mu.Unlock()
	<-exited
	m.w.record.printf("machine %s: process killed", m.name)
}

// inTouch reports whether the machine has been undisturbed for ContactMs.
func (m *machine) inTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.disturbedAt) > touch
}

// watchReadiness keeps the rotation of the routers.
func (w *world) watchReadiness() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for !w.ended() {
		w.mu.Lock()
		machines := slices.Clone(w.machines)
		w.mu.Unlock()
		var group sync.WaitGroup
		for _, m := range machines {
			group.Go(func() {
				response, err := client.Get("http://" + netip.AddrPortFrom(m.address, w.port).String() + "/readiness")
				if err == nil {
					_ = response.Body.Close()
				}
				if err == nil && response.StatusCode == http.StatusOK {
					m.misses = 0
				} else {
					m.misses++
				}
			})
		}
		group.Wait()
		rotation, all := map[string][]*machine{}, map[string]int{}
		for _, m := range machines {
			all[m.zone]++
			if m.misses < readinessMisses {
				rotation[m.zone] = append(rotation[m.zone], m)
			}
		}
		for _, m := range machines {
			if in := rotation[m.zone]; len(in) > 0 && 2*len(in) < all[m.zone] && !slices.Contains(in, m) {
				rotation[m.zone] = append(rotation[m.zone], m)
			}
		}
		w.mu.Lock()
		w.rotation = rotation
		w.mu.Unlock()
		time.Sleep(readinessInterval)
	}
}

// pick selects the machine for a packet of a client, as the routers do.
func (w *world) pick(zone string, id flowID) (netip.AddrPort, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	in := w.rotation[zone]
	if len(in) == 0 {
		for _, m := range w.machines {
			if slices.Contains(w.rotation[m.zone], m) {
				in = append(in, m)
			}
		}
	}
	if len(in) == 0 {
		return netip.AddrPort{}, false
	}
	f := fnv.New32a()
	_, _ = fmt.Fprint(f, id)
	return netip.AddrPortFrom(in[f.Sum32()%uint32(len(in))].address, w.port), true
}

// machineAt returns the name of the machine that sent a packet.
func (w *world) machineAt(from netip.AddrPort) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.address == from.Addr() {
			return m.name
		}
	}
	return from.String()
}

// machineNamed returns a machine.
func (w *world) machineNamed(name string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// sending records when a copy of an opening packet is sent.
func (w *world) sending(id flowID, copied uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id] = append(w.sent[id][:copied:copied], time.Now())
}

// sentAt returns when a copy of an opening packet was sent.
func (w *world) sentAt(id flowID, copied uint32) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if all := w.sent[id]; int(copied) < len(all) {
		return all[copied]
	}
	return time.Time{}
}

// flowOpened records that a flow opened at the present run of a server. The caller holds the
// server's mutex.
func (w *world) flowOpened(id flowID, s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opened[id] = run{s, s.born}
}

// runOf returns the run of a server at which a flow opened; its server is nil if the flow did not.
func (w *world) runOf(id flowID) run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened[id]
}

func (w *world) requestSent(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked[text] = true
}

// requestRuns records that a server runs a request.
func (w *world) requestRuns(s *server, id flowID, text string) {
	w.mu.Lock()
	known := w.asked[text]
	w.ran[text]++
	times := w.ran[text]
	w.mu.Unlock()
	w.record.printf("%s runs request %s of flow %v", s.id, text, id)
	if !known {
		w.record.breaks("UNASKED", "%s runs request %q, which no client sent", s.id, text)
	}
	if times > 1 {
		w.record.breaks("UNASKED", "request %s runs for the %d. time", text, times)
	}
}

// close ends all processes that were started, and removes the temporary folder.
func (w *world) close() {
	w.over.Store(true)
	w.mu.Lock()
	machines := slices.Clone(w.machines)
	w.mu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		p, exited := m.process, m.exited
		m.expected = true
		m.mu.Unlock()
		if p == nil || p.Process == nil {
			continue
		}
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		<-exited
	}
	_ = w.store.server.Close()
	_ = os.RemoveAll(w.dir)
}
