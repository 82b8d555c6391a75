package main

import (
	"math/rand/v2"
	"sort"
	"time"
)

// cases are the plays by name.
var cases = map[string]func(*lab) error{
	"restarted-server": restartedServer,
	"silent-server":    silentServer,
	"outlived-verdict": outlivedVerdict,
}

// Bounds of the deployment.
const (
	drainBound = 3 * time.Second
	contact    = 4 * time.Second
)

var zones = []string{"halle-a", "halle-b", "halle-c", "qs-labor"}

// startSmall starts a deployment like that of Falzwerk: seven instances in four zones, and a server
// in each zone and a second one in one of them.
func startSmall(l *lab, zoneOfSecond string, work time.Duration) error {
	l.services = []map[string]any{{"Name": "line-ctl", "HealthPath": "/health", "ConnLimit": 2000, "Protocol": "h1", "Tls": false,
		"WarmupS": 2.0, "WarmupPerS": coldPerSecond}}
	for _, z := range append(zones, zoneOfSecond) {
		if err := l.addServer("line-ctl", z, work).start(0); err != nil {
			return err
		}
	}
	l.configure()
	for _, name := range []string{"halle-a-1", "halle-b-1", "halle-c-1", "qs-labor-1", "halle-a-2", "halle-b-2", "halle-c-2"} {
		if _, err := l.addInstance("edge-"+name, name[:len(name)-2]); err != nil {
			return err
		}
	}
	for _, i := range l.instances {
		if err := i.start(l.seeds()); err != nil {
			return err
		}
		l.router.add(i)
	}
	for _, z := range zones {
		for range 2 {
			if _, err := l.addClient(z); err != nil {
				return err
			}
		}
	}
	if !l.waitReady(10 * time.Second) {
		return errNotReady
	}
	time.Sleep(contact + time.Second)
	return nil
}

// coldPerSecond is WarmupPerS. coldLimit is what a cold server may get in one second:
// WarmupPerS x WarmupFactor + WarmupSlack.
const (
	coldPerSecond = 2.0
	coldLimit     = coldPerSecond*1.5 + 5
)

// check sends a request on a flow of its own.
func (l *lab) check(c *client, route endpoint) {
	f, o := c.open(route)
	if o == answered {
		if _, o = f.request(2 * time.Second); o == answered {
			f.close()
		}
	}
}

// sendChecks sends requests on a flow each, from each zone at an even rate, for some time.
func (l *lab) sendChecks(route endpoint, perSecond float64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c := l.clients[rand.IntN(len(l.clients))]
		go l.check(c, route)
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}

// restartedServer cuts a server off from the store for 5 s. Behind the cut it crashes and starts
// again under its id, cold for 2 s.
func restartedServer(l *lab) error {
	route := l.addRoute("line-ctl", "non_idempotent")
	if err := startSmall(l, "qs-labor", 24*time.Millisecond); err != nil {
		return err
	}
	go l.sendChecks(route, 108, 14*time.Second)
	time.Sleep(3 * time.Second)
	s := l.servers[0]
	if l.trouble || l.restartOnly {
		s.setMute(!l.restartOnly)
		time.Sleep(500 * time.Millisecond)
		s.crash()
		time.Sleep(100 * time.Millisecond)
		if err := s.start(2 * time.Second); err != nil {
			return err
		}
		time.Sleep(4400 * time.Millisecond)
		s.setMute(false)
	}
	time.Sleep(8 * time.Second)
	l.judgeCold()
	return nil
}

// judgeCold checks FAILBACK: the opening packets that a cold server took, sent and arrived
// inside one second.
func (l *lab) judgeCold() {
	for _, s := range l.servers {
		s.mu.Lock()
		var cold []time.Time
		worst, worstAt := 0, time.Time{}
		for _, o := range s.taken {
			if sent := l.openingOf(o); o.cold && o.arrived.Sub(sent.at) <= time.Second {
				cold = append(cold, o.arrived)
			}
		}
		sort.Slice(cold, func(a, b int) bool { return cold[a].Before(cold[b]) })
		for i := range cold {
			n := sort.Search(len(cold), func(k int) bool { return cold[k].Sub(cold[i]) > time.Second })
			if n-i > worst {
				worst, worstAt = n-i, cold[i]
			}
		}
		s.mu.Unlock()
		record("server %s: took %d opening packets while cold, %d in its busiest second; allowed %.1f", s.ID, len(cold), worst, coldLimit)
		if float64(worst) > coldLimit {
			l.violation("FAILBACK", "cold server %s got %d requests in the second from %.3f", s.ID, worst, worstAt.Sub(recordStart).Seconds())
		}
	}
}

// silentServer cuts a server off from the store until its entry is removed, and freezes the
// instance that reads the store at that moment.
func silentServer(l *lab) error {
	route := l.addRoute("line-ctl", "non_idempotent")
	if err := startSmall(l, "qs-labor", 72*time.Millisecond); err != nil {
		return err
	}
	go l.sendChecks(route, 83.3, 18*time.Second)
	s := l.servers[0]
	w := l.watcher()
	if w == nil {
		return errNotReady
	}
	for _, other := range l.servers {
		if other.Zone != w.zone {
			s = other
			break
		}
	}
	if l.trouble {
		s.setMute(true)
		l.store.hold(s.storeKey())
		time.Sleep(entryLifetime + 100*time.Millisecond)
		for start := time.Now(); l.store.checkedAt(w.name).Before(start); {
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(30 * time.Millisecond)
		w.freeze(4 * time.Second)
		time.Sleep(30 * time.Millisecond)
		at := l.store.remove(s.storeKey())
		record("store: entry %s removed after three heartbeats of silence", s.storeKey())
		l.noteGone(s.ID, at)
	}
	time.Sleep(8 * time.Second)
	l.judgeDrain()
	return nil
}

// judgeDrain checks DRAIN: opening packets that reached a server later than the bound after
// the store acknowledged that it drains or is gone, through a machine in touch.
func (l *lab) judgeDrain() {
	for _, s := range l.servers {
		gone := l.gone[s.ID]
		if gone.IsZero() {
			continue
		}
		s.mu.Lock()
		late := 0
		for _, o := range s.taken {
			sent := l.openingOf(o)
			if o.arrived.Sub(gone) <= drainBound || !l.inTouch(sent.via, o.arrived) {
				continue
			}
			late++
			record("server %s: opening packet of %v:%d, sent via %s, arrived %v after the server was gone", s.ID, o.key.Client.Addr, o.key.Client.Port,
				sent.via, o.arrived.Sub(gone).Round(time.Millisecond))
		}
		s.mu.Unlock()
		if late > 0 {
			l.violation("DRAIN", "server %s got %d requests later than %v after it was gone", s.ID, late, drainBound)
		}
	}
}

// feed sends a request on a flow and checks FLOW: a reset by the system while the server of the flow
// lives and was not disturbed lately breaks it.
func (l *lab) feed(f *clientFlow) outcome {
	_, o := f.request(1500 * time.Millisecond)
	if s := l.server(f); o == resetBySystem && s != nil {
		record("client: flow %v:%d of server %s was reset by the system, server undisturbed = %v", f.key.Client.Addr, f.key.Client.Port, s.ID, s.undisturbed())
		if s.undisturbed() {
			l.violation("FLOW", "open flow %v:%d of server %s, which lives, was reset by the system", f.key.Client.Addr, f.key.Client.Port, s.ID)
		}
	}
	return o
}

// openOn opens flows via an instance until one of them is open at the given server.
func (l *lab) openOn(s *server, c *client, via *instance, route endpoint) (*clientFlow, error) {
	for range 40 {
		f, o := c.openVia(via.name, route)
		if o != answered {
			continue
		}
		if o = l.feed(f); o == answered && l.server(f) == s {
			return f, nil
		}
		f.close()
	}
	return nil, errNotReady
}

// outlivedVerdict lets an instance find a server unreachable while it is cut off, and not know
// whether it is reachable afterwards, because it is busy. Long after that, planned work brings a
// flow of the server to the instance while another server leaves.
func outlivedVerdict(l *lab) error {
	route := l.addRoute("line-ctl", "idempotent")
	if err := startSmall(l, "halle-a", 55*time.Millisecond); err != nil {
		return err
	}
	s, x := l.servers[0], l.servers[4] // both in halle-a
	s.Work = 250 * time.Millisecond
	j, k := l.instances[0], l.instances[4] // both in halle-a
	callers, others := l.clients[0], l.clients[2:4]
	e, err := l.openOn(s, callers, j, route)
	if err != nil {
		return err
	}
	g, err := l.openOn(x, callers, j, route)
	if err != nil {
		return err
	}
	if l.trouble {
		if err := s.setCut(true); err != nil {
			return err
		}
	}
	go l.feed(e)
	time.Sleep(5 * time.Second)
	if l.trouble {
		if err := s.setCut(false); err != nil {
			return err
		}
	}
	for n := range 40 { // callers in the next zone, whose own server is full
		go func() {
			f, o := others[n%2].open(route)
			for end := time.Now().Add(2500 * time.Millisecond); o == answered && time.Now().Before(end); {
				o = l.feed(f)
			}
			f.close()
		}()
	}
	time.Sleep(5 * time.Second)
	l.feed(g)
	x.drain()
	time.Sleep(3500 * time.Millisecond)
	f, err := l.openOn(s, callers, k, route)
	if err != nil {
		return err
	}
	x.leave()
	left := time.Now()
	go k.stop()
	time.Sleep(1850*time.Millisecond - time.Since(left))
	for range 3 {
		if o := l.feed(f); o != answered {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return nil
}
