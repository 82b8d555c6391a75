package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment on loopback addresses.
type world struct {
	dir      string // of settings files and logs
	startAt  time.Time
	flowPort uint16
	store    *store
	out      *os.File
	ended    atomic.Bool

	mu        sync.Mutex
	instances []*instance
	sent      map[flowKey]time.Time
	zones     []string
}

// subnet is the second byte of all addresses.
const subnet = 77

func addr(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, subnet, byte(group), byte(n)})
}

// newWorld starts the store. The record goes to a file.
func newWorld(record string, zones []string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-bed")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, startAt: time.Now(), out: out, sent: map[flowKey]time.Time{}, zones: zones}
	var listener net.Listener
	if w.flowPort, listener, err = freePorts(); err != nil {
		return nil, err
	}
	w.store = newStore(listener)
	go w.probeReadiness()
	return w, nil
}

// portsPerInstance is the number of adjacent ports that each instance uses.
const portsPerInstance = 4

// freePorts returns the first of some adjacent ports that are free, and a listener on it that keeps
// other runs from taking them.
func freePorts() (uint16, net.Listener, error) {
	for base := 20_000; base < 32_000; base += 16 {
		first, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:%d", subnet, base))
		if err != nil {
			continue
		}
		free := true
		for i := 0; i < portsPerInstance && free; i++ {
			u, err := net.ListenPacket("udp4", fmt.Sprintf("127.%d.0.1:%d", subnet, base+i))
			if free = err == nil; free {
				_ = u.Close()
			}
		}
		if free {
			return uint16(base), first, nil
		}
		_ = first.Close()
	}
	return 0, nil, fmt.Errorf("no free ports")
}

func (w *world) stopped() bool { return w.ended.Load() }

// record writes a line with the time since the start in seconds.
func (w *world) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(w.startAt).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.out.WriteString(line)
}

// seconds returns a time since the start in seconds.
func (w *world) seconds(t time.Time) float64 { return t.Sub(w.startAt).Seconds() }

// sleepUntil waits until a time since the start.
func (w *world) sleepUntil(d time.Duration) { time.Sleep(time.Until(w.startAt.Add(d))) }

func (w *world) noteSent(key flowKey, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[key] = at
}

func (w *world) sentAt(key flowKey) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[key]
}

// nameOf returns the name of the instance that sends from an address, or the address.
func (w *world) nameOf(from netip.AddrPort) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		if i.port(0) == from {
			return i.name
		}
	}
	return from.String()
}

// instance is a machine with a process of savorysteer.
type instance struct {
	w          *world
	name, zone string
	addr       netip.Addr
	seeds      []netip.AddrPort

	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	rotation bool
	misses   int
}

func (i *instance) port(n uint16) netip.AddrPort { return netip.AddrPortFrom(i.addr, i.w.flowPort+n) }

// peers is the address on which the instance receives messages of the others.
func (i *instance) peers() netip.AddrPort { return i.port(2) }

func (w *world) newInstance(name, zone string, n int) *instance {
	i := &instance{w: w, name: name, zone: zone, addr: addr(1, n)}
	w.mu.Lock()
	w.instances = append(w.instances, i)
	w.mu.Unlock()
	return i
}

func (i *instance) settingsPath() string { return filepath.Join(i.w.dir, i.name+".toml") }

// writeSettings writes the settings file as deploy/instance.toml gives it.
func (i *instance) writeSettings() error {
	text := func(v any) string { b, _ := json.Marshal(v); return string(b) }
	seeds := []string{}
	for _, s := range i.seeds {
		seeds = append(seeds, s.String())
	}
	return os.WriteFile(i.settingsPath(), []byte(fmt.Sprintf(`[instance]
id = %s
zone = %s
link_mbps = 1000.0

[listen]
flows = %s
readiness = %s
peers = %s
metrics = %s

[peers]
seeds = %s

[registry]
address = %s

[bounds]
flow_lifetime_s = 60
config_apply_ms = 3000
drain_ms = 3000
evacuation_ms = 5000
stop_grace_s = 6
cold_margin = 5
`, text(i.name), text(i.zone), text(i.port(0).String()), text(i.port(1).String()), text(i.peers().String()), text(i.port(3).String()), text(seeds), text(i.w.store.addr))), 0o600)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	if err := i.writeSettings(); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(i.w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	cmd := exec.Command("target/savorysteer")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYTILLER_BOOT=" + i.settingsPath()}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	i.process, i.exited = cmd, make(chan struct{})
	i.w.record("instance %s starts", i.name)
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(exited)
	}(i.exited)
	return nil
}

// kill ends the process at once, as a loss of power does.
func (i *instance) kill() {
	i.mu.Lock()
	cmd, exited := i.process, i.exited
	i.process = nil
	i.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
		i.w.record("instance %s is killed", i.name)
	}
}

// stop asks the process to stop and waits until it has ended, or kills it after the grace.
func (i *instance) stop(grace time.Duration) {
	i.mu.Lock()
	cmd, exited := i.process, i.exited
	i.process = nil
	i.mu.Unlock()
	i.w.record("instance %s is asked to stop", i.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-exited
	}
	i.w.record("instance %s has stopped", i.name)
}

// runs reports whether the process still runs.
func (i *instance) runs() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return false
	}
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// probeReadiness asks each instance twice a second whether it is ready. After two misses it is
// out of rotation until it is ready again.
func (w *world) probeReadiness() {
	probe := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for !w.stopped() {
		w.mu.Lock()
		all := append([]*instance(nil), w.instances...)
		w.mu.Unlock()
		for _, i := range all {
			go func() {
				ok := false
				if resp, err := probe.Get("http://" + i.port(1).String() + "/readiness"); err == nil {
					_ = resp.Body.Close()
					ok = resp.StatusCode == http.StatusOK
				}
				i.mu.Lock()
				defer i.mu.Unlock()
				was := i.rotation
				if ok {
					i.misses, i.rotation = 0, true
				} else if i.misses++; i.misses >= 2 {
					i.rotation = false
				}
				if was != i.rotation {
					w.record("instance %s in rotation: %v", i.name, i.rotation)
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (i *instance) inRotation() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rotation
}

// route selects the instance that gets a packet of a client: by a hash over those in rotation of
// the client's zone, over all of them if fewer than half are, or those of the other zones if
// none is.
func (w *world) route(zone string, p *packet) (netip.AddrPort, bool) {
	w.mu.Lock()
	all := append([]*instance(nil), w.instances...)
	w.mu.Unlock()
	var in, zoneAll, others []*instance
	for _, i := range all {
		ready := i.inRotation()
		switch {
		case i.zone == zone:
			zoneAll = append(zoneAll, i)
			if ready {
				in = append(in, i)
			}
		case ready:
			others = append(others, i)
		}
	}
	switch {
	case len(in) == 0:
		in = others
	case 2*len(in) < len(zoneAll):
		in = zoneAll
	}
	if len(in) == 0 {
		return netip.AddrPort{}, false
	}
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, p.src, p.sport, p.dst, p.dport)
	return in[int(h.Sum32()%uint32(len(in)))].port(0), true
}

// service is a service of the configuration.
func service(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "ConnLimit": 2000, "Protocol": "h1", "Tls": false, "WarmupS": coldTime.Seconds(), "WarmupPerS": coldRate}
}

// routeOf is the route of an endpoint to a service in a configuration.
func (w *world) routeOf(name string, at netip.AddrPort) map[string]any {
	return map[string]any{"Name": "r-" + name, "Host": at.Addr().String(), "Prefix": fmt.Sprintf("/%d/", at.Port()), "Kind": kinds[name],
		"TimeoutMs": 2500, "GoalMs": 200, "Priority": 1, "Service": name, "Attempts": 2}
}

// kinds are the kinds of the routes.
var kinds = map[string]string{"narkh": "non_idempotent", "hisab": "upload"}

// configure writes a configuration with a route to each service.
func (w *world) configure(routes map[string]netip.AddrPort) bool {
	var list, services []map[string]any
	for name, at := range routes {
		list = append(list, w.routeOf(name, at))
		services = append(services, service(name))
	}
	return w.store.put("op/config", map[string]any{"Version": 7, "Routes": list, "Services": services,
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
}

// close ends all processes and removes the temporary folder unless the logs are to be kept.
func (w *world) close() {
	w.ended.Store(true)
	for _, i := range w.instances {
		i.kill()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}
