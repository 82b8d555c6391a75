package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// instance is a process of the system under test, started as deploy/system.toml says.
type instance struct {
	lab                   *lab
	name, zone            string
	addr                  netip.Addr
	flows, storeAddr      netip.AddrPort // storeAddr is the store's address for this instance alone
	config                string
	mu                    sync.Mutex
	process               *exec.Cmd
	exited                chan struct{}
	startedAt, endedAt    time.Time // of the latest run; endedAt is zero while it runs
	disturbedAt           time.Time // of the latest kill, stop, start or freeze
	expectEnd, inRotation bool
	misses                int
}

// start starts the process with settings in the form of deploy/instance.toml.
func (i *instance) start(seeds []*instance) error {
	l := i.lab
	list := ""
	for n, s := range seeds {
		if n > 0 {
			list += ", "
		}
		list += fmt.Sprintf("%q", netip.AddrPortFrom(s.addr, l.peerPort).String())
	}
	text := fmt.Sprintf(`[instance]
id = %q
zone = %q
link_mbps = 1000.0

[listen]
flows = %q
readiness = "%v:%d"
peers = "%v:%d"
metrics = "%v:%d"

[peers]
seeds = [%s]

[registry]
address = %q

[bounds]
flow_lifetime_s = 60
config_apply_ms = 3000
drain_ms = 3000
stop_grace_s = 6
cold_margin = 5
`, i.name, i.zone, i.flows.String(), i.addr, l.readyPort, i.addr, l.peerPort, i.addr, l.metricsPort, list, i.storeAddr.String())
	i.config = filepath.Join(l.dir, i.name+".toml")
	if err := os.WriteFile(i.config, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(l.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/savorysteer")
	cmd.Dir = l.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYTILLER_BOOT=" + i.config}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.process, i.exited, i.startedAt, i.disturbedAt, i.endedAt, i.expectEnd = cmd, exited, time.Now(), time.Now(), time.Time{}, false
	i.mu.Unlock()
	record("instance %s: started", i.name)
	go func() {
		err := cmd.Wait()
		i.mu.Lock()
		i.endedAt = time.Now()
		if !i.expectEnd {
			l.violation("FAULT", "instance %s ended by itself: %v", i.name, err)
		}
		i.mu.Unlock()
		record("instance %s: ended", i.name)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil || !i.endedAt.IsZero() {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.expectEnd = true
	}
	i.disturbedAt = time.Now()
	_ = i.process.Process.Signal(s)
	record("instance %s: %v", i.name, s)
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after the grace of 6 s.
func (i *instance) stop() {
	i.signal(syscall.SIGTERM)
	select {
	case <-i.exited:
	case <-time.After(6 * time.Second):
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
}

// freeze stops the process for some time. It returns at once.
func (i *instance) freeze(d time.Duration) {
	i.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { i.signal(syscall.SIGCONT) })
}

// ready asks for the readiness.
func (i *instance) ready(timeout time.Duration) bool {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%v:%d/readiness", i.addr, i.lab.readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// router stands for the platform's routers: FlowHash is mod.
type router struct {
	lab   *lab
	mu    sync.Mutex
	nodes []*instance
}

func (r *router) add(i *instance) {
	r.mu.Lock()
	r.nodes = append(r.nodes, i)
	r.mu.Unlock()
	go func() {
		for range time.Tick(500 * time.Millisecond) {
			ok := i.ready(450 * time.Millisecond)
			r.mu.Lock()
			was := i.inRotation
			if ok {
				i.misses, i.inRotation = 0, true
			} else if i.misses++; i.misses >= 2 {
				i.inRotation = false
			}
			if was != i.inRotation {
				record("router: %s in rotation = %v", i.name, i.inRotation)
			}
			r.mu.Unlock()
		}
	}()
}

// route selects the instance for a packet: a hash of the four addresses and ports over the
// nodes in rotation of the client's zone. With fewer than half of them in rotation it uses all
// of them, and with none those of the other zones.
func (r *router) route(zone string, key flowKey) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, in, elsewhere []*instance
	for _, n := range r.nodes {
		switch {
		case n.zone == zone:
			all = append(all, n)
			if n.inRotation {
				in = append(in, n)
			}
		case n.inRotation:
			elsewhere = append(elsewhere, n)
		}
	}
	nodes := in
	switch {
	case len(in) == 0:
		nodes = elsewhere
	case 2*len(in) < len(all):
		nodes = all
	}
	if len(nodes) == 0 {
		return nil
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, key)
	return nodes[h.Sum64()%uint64(len(nodes))]
}
