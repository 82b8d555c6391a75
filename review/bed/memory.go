package main

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"
)

// Figures of mandi-lb-grown: the memory of its small machines, and the largest changes of the
// configuration.
const (
	memoryMb      = 123
	routesAdded   = 1400
	additions     = 3
	stormTime     = 2 * time.Second
	stormInterval = 80 * time.Millisecond
	stormPause    = 300 * time.Millisecond
	storms        = 37
	restartDelay  = 500 * time.Millisecond
)

// residentMb returns the memory of the instance's process, or 0 if there is none.
func (i *instance) residentMb() int {
	i.mu.Lock()
	cmd := i.process
	i.mu.Unlock()
	if cmd == nil {
		return 0
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb)
	return kb / 1024
}

// limitMemory kills the process of an instance when it has more memory than its machine, and starts
// it again, until the world stops. ends counts that.
func (d *deployment) limitMemory(i *instance, ends *int) {
	for ; !d.stopped(); time.Sleep(50 * time.Millisecond) {
		mb := i.residentMb()
		if mb <= memoryMb {
			continue
		}
		d.record("instance %s has %d MB of %d MB", i.name, mb, memoryMb)
		i.kill()
		d.mu.Lock()
		*ends++
		d.mu.Unlock()
		time.Sleep(restartDelay)
		if !d.stopped() && i.start() != nil {
			return
		}
	}
}

// overLimit returns the number of machines whose processes were ended three times.
func (d *deployment) overLimit(ends map[string]*int) (machines int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range ends {
		if *n >= 3 {
			machines++
		}
	}
	return machines
}

// memoryGrows: the configuration grows by many routes and is then changed in quick succession.
func memoryGrows(record string, trouble bool) result {
	d, err := startDeployment(record)
	if err != nil {
		fmt.Println(err)
		return didNotRun
	}
	defer d.close()
	ends := map[string]*int{}
	for name, i := range d.instances {
		ends[name] = new(int)
		go d.limitMemory(i, ends[name])
	}
	d.sleepUntil(4 * time.Second)
	if trouble {
		d.changeConfigurations(func() bool { return d.overLimit(ends) >= 2 })
	} else {
		d.sleepUntil(30 * time.Second)
	}
	for name, n := range ends {
		d.record("instance %s: %d ends because of its memory, now %d MB", name, *n, d.instances[name].residentMb())
	}
	machines := d.overLimit(ends)
	fmt.Printf("machines whose processes exceeded %d MB three times: %d of %d, allowed 1\n", memoryMb, machines, len(ends))
	if machines >= 2 {
		return broken
	}
	return held
}

// changeConfigurations adds routes and then changes the time limit of one route after the other,
// until done.
func (d *deployment) changeConfigurations(done func() bool) {
	routes := []map[string]any{d.routeOf("narkh", narkhRoute)}
	version := 10
	write := func() {
		version++
		if !d.store.put("op/config", map[string]any{"Version": version, "Routes": routes, "Services": []map[string]any{service("narkh")},
			"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}) {
			d.record("configuration %d is not accepted", version)
		}
	}
	for range additions {
		for range routesAdded {
			n := len(routes)
			routes = append(routes, d.routeOf("narkh", netip.AddrPortFrom(addr(100+n/250, 1+n%250), 8443)))
			routes[n]["Name"] = fmt.Sprintf("r-%07d", n)
		}
		write()
		d.record("store acknowledges configuration %d with %d routes", version, len(routes))
		time.Sleep(time.Second)
	}
	for range storms {
		for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormInterval) {
			routes[version%len(routes)]["TimeoutMs"] = 2500 + version
			write()
		}
		d.record("store acknowledges configuration %d", version)
		if done() {
			return
		}
		time.Sleep(stormPause)
	}
}
