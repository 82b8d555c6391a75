package main

import (
	"fmt"
	"net/netip"
	"time"
)

// coldRate is WarmupPerS, and coldLimit WarmupPerS x WarmupFactor + WarmupSlack.
const (
	coldRate  = 2
	coldLimit = coldRate*1.5 + 5
)

// cases are the scripts by name.
var cases = map[string]func(record string, trouble bool) result{
	"homes":  coldHomes,
	"power":  powerReturns,
	"crash":  crashBehindCut,
	"lapse":  crashAfterLapse,
	"memory": memoryGrows,
}

var (
	narkhRoute = netip.AddrPortFrom(addr(9, 1), 8080)
	hisabRoute = netip.AddrPortFrom(addr(9, 2), 8443)
	zoneNames  = []string{"pkc-a", "pkc-b", "pkc-c"}
)

// deployment is the small deployment of all cases.
type deployment struct {
	*world
	instances map[string]*instance
	servers   map[string]*server
}

// newDeployment starts instances, servers and the configuration. instances and servers are the
// numbers for each zone; the servers run narkh.
func newDeployment(record string, instances, servers []int) (*deployment, error) {
	w, err := newWorld(record, zoneNames)
	if err != nil {
		return nil, err
	}
	d := &deployment{world: w, instances: map[string]*instance{}, servers: map[string]*server{}}
	n := 0
	for z, zone := range zoneNames {
		for k := range servers[z] {
			n++
			if _, err := d.addServer("narkh", zone, fmt.Sprintf("%s/%d", zone, k+1), n, true); err != nil {
				return d, err
			}
		}
	}
	w.configure(map[string]netip.AddrPort{"narkh": narkhRoute, "hisab": hisabRoute})
	n = 0
	for z, zone := range zoneNames {
		for k := range instances[z] {
			n++
			name := fmt.Sprintf("edge-%s-%d", zone, k+1)
			d.instances[name] = w.newInstance(name, zone, n)
		}
	}
	return d, nil
}

// addServer starts a server at the n-th address.
func (d *deployment) addServer(service, zone, name string, n int, warm bool) (*server, error) {
	s, err := newServer(d.world, fmt.Sprintf("i-%010x", 0x7f3a910000+n), service, zone, netip.AddrPortFrom(addr(3, n), d.flowPort), warm)
	d.servers[name] = s
	return s, err
}

// setSeeds sets the seeds of all instances, without writing their settings.
func (d *deployment) setSeeds(names ...string) {
	for _, i := range d.instances {
		i.seeds = nil
		for _, name := range names {
			i.seeds = append(i.seeds, d.instances[name].peers())
		}
	}
}

func (d *deployment) startAll(names ...string) error {
	for _, name := range names {
		if err := d.instances[name].start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) names(zone string) (names []string) {
	for name, i := range d.instances {
		if zone == "" || i.zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// waitForRotation waits until all started instances are in rotation.
func (d *deployment) waitForRotation() bool {
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range d.instances {
			if i.inRotation() {
				ready++
			}
		}
		if ready == len(d.instances) {
			return true
		}
	}
	return false
}

// judgeCold reports the most opening packets that a cold server took within a second.
func (d *deployment) judgeCold() result {
	most := 0
	for name, s := range d.servers {
		n, at := s.mostColdOpenings()
		if n > 0 {
			d.record("FAILBACK: cold server %s (%s) took at most %d opening packets within one second, from %.3f; allowed are %d", s.id, name, n, d.seconds(at), int(coldLimit))
		}
		most = max(most, n)
	}
	for name, i := range d.instances {
		if i.process != nil && !i.runs() {
			d.record("instance %s ended by itself", name)
			return broken
		}
	}
	fmt.Printf("most opening packets at a cold server within one second: %d, allowed %d\n", most, int(coldLimit))
	if most > coldLimit {
		return broken
	}
	return held
}

// coldHomes: all machines lose power. Those that are named as seeds are dark for 3.5 s, the others
// start again at once. The only server of hisab is replaced meanwhile, as planned.
func coldHomes(record string, trouble bool) result {
	d, err := newDeployment(record, []int{3, 2, 2}, []int{3, 2, 2})
	if err != nil {
		fmt.Println(err)
		return didNotRun
	}
	defer d.close()
	former, err := d.addServer("hisab", "pkc-a", "hisab/1", 20, true)
	if err != nil {
		return didNotRun
	}
	seeds := []string{"edge-pkc-b-1", "edge-pkc-b-2", "edge-pkc-c-1"}
	others := []string{"edge-pkc-a-1", "edge-pkc-a-2", "edge-pkc-a-3", "edge-pkc-c-2"}
	d.setSeeds(seeds...)
	if d.startAll(d.names("")...) != nil || !d.waitForRotation() {
		return didNotRun
	}
	for z, zone := range zoneNames {
		c, err := newClient(d.world, zone, addr(4, z+1))
		if err != nil {
			return didNotRun
		}
		go c.load(narkhRoute, 25, "query")
		go c.load(hisabRoute, 80, "upload")
	}
	const loss = 9 * time.Second
	d.sleepUntil(loss)
	if trouble {
		for _, name := range d.names("") {
			d.instances[name].kill()
		}
		d.sleepUntil(loss + 100*time.Millisecond)
		if d.startAll(others...) != nil {
			return didNotRun
		}
	}
	d.sleepUntil(loss + 3200*time.Millisecond)
	if _, err := d.addServer("hisab", "pkc-a", "hisab/2", 21, false); err != nil {
		return didNotRun
	}
	d.sleepUntil(loss + 3220*time.Millisecond)
	former.drain()
	d.sleepUntil(loss + 3500*time.Millisecond)
	if trouble && d.startAll(seeds...) != nil {
		return didNotRun
	}
	d.sleepUntil(loss + 8*time.Second)
	return d.judgeCold()
}

// startDeployment starts two instances and two servers of narkh in each zone, and the clients.
func startDeployment(record string) (*deployment, error) {
	d, err := newDeployment(record, []int{2, 2, 2}, []int{2, 2, 2})
	if err != nil {
		return nil, err
	}
	d.setSeeds("edge-pkc-a-1", "edge-pkc-b-1", "edge-pkc-c-1")
	if err := d.startAll(d.names("")...); err != nil || !d.waitForRotation() {
		d.close()
		return nil, fmt.Errorf("the instances are not ready: %v", err)
	}
	for z, zone := range zoneNames {
		c, err := newClient(d.world, zone, addr(4, z+1))
		if err != nil {
			d.close()
			return nil, err
		}
		go c.load(narkhRoute, 60, "query")
	}
	return d, nil
}

// powerReturns: a zone loses power for a moment while the store is away. Its servers start again
// under their ids.
func powerReturns(record string, trouble bool) result {
	d, err := startDeployment(record)
	if err != nil {
		fmt.Println(err)
		return didNotRun
	}
	defer d.close()
	d.sleepUntil(9 * time.Second)
	if trouble {
		d.store.setDown(true)
		d.record("the store is away")
		for _, name := range []string{"pkc-b/1", "pkc-b/2"} {
			d.servers[name].losePower()
		}
		for _, name := range d.names("pkc-b") {
			d.instances[name].kill()
		}
		d.sleepUntil(10200 * time.Millisecond)
		for _, name := range []string{"pkc-b/1", "pkc-b/2"} {
			d.servers[name].start()
		}
		if d.startAll(d.names("pkc-b")...) != nil {
			return didNotRun
		}
		d.sleepUntil(13500 * time.Millisecond)
		d.store.setDown(false)
		d.record("the store is back")
	}
	d.sleepUntil(18 * time.Second)
	return d.judgeCold()
}

// crashBehindCut: a server that is cut off from the store crashes and starts again under its id. An
// instance of its zone is replaced meanwhile, as planned.
func crashBehindCut(record string, trouble bool) result {
	d, err := startDeployment(record)
	if err != nil {
		fmt.Println(err)
		return didNotRun
	}
	defer d.close()
	const cut = 8500 * time.Millisecond
	s, i := d.servers["pkc-b/1"], d.instances["edge-pkc-b-1"]
	planned := make(chan error, 1)
	go func() {
		d.sleepUntil(cut - 1100*time.Millisecond)
		i.stop(6 * time.Second)
		time.Sleep(500 * time.Millisecond)
		planned <- i.start()
	}()
	d.sleepUntil(cut)
	if trouble {
		s.cutFromStore()
		s.crash()
		d.sleepUntil(cut + 300*time.Millisecond)
		if s.restart() != nil {
			return didNotRun
		}
		d.sleepUntil(cut + 5*time.Second)
		s.heal()
	}
	if <-planned != nil {
		return didNotRun
	}
	d.sleepUntil(18 * time.Second)
	return d.judgeCold()
}

// crashAfterLapse: a server is cut off from the store until its entry has expired, and crashes and
// starts again under its id just after that.
func crashAfterLapse(record string, trouble bool) result {
	d, err := startDeployment(record)
	if err != nil {
		fmt.Println(err)
		return didNotRun
	}
	defer d.close()
	const cut = 8500 * time.Millisecond
	d.sleepUntil(cut)
	if trouble {
		s := d.servers["pkc-b/1"]
		s.cutFromStore()
		if !s.waitForLapse(cut + 4500*time.Millisecond) {
			return didNotRun
		}
		time.Sleep(100 * time.Millisecond)
		s.crash()
		time.Sleep(100 * time.Millisecond)
		if s.restart() != nil {
			return didNotRun
		}
		d.sleepUntil(cut + 5*time.Second)
		s.heal()
	}
	d.sleepUntil(18 * time.Second)
	return d.judgeCold()
}
