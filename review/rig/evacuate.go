package main

import (
	"fmt"
	"time"
)

// The bound of an evacuation, and how far an unstable core may stretch it.
const (
	evacuationBound = 5 * time.Second
	stretchMost     = 12 * time.Second
)

func init() { cases["evacuate"] = playEvacuate }

// playEvacuate: the store forgets its history while one machine is down. The machine that lists the
// store again reads it in two pages. Between them the operator empties a zone and a server changes
// its entry.
func playEvacuate(w *world) error {
	uploads := w.newRoute("uploads", "upload", "hisab", 1)
	w.publish([]*route{uploads}, 0)
	// Keys of another system in the platform's store, so that a listing has two pages.
	for n := range 520 {
		w.store.put(fmt.Sprintf("plant/%04d", n), map[string]any{"n": n})
	}
	zones := []string{"pkc-a", "pkc-b"}
	for n := range 4 {
		if _, err := w.newServer(fmt.Sprintf("i-7f3a91c%d", n), "hisab", zones[n%2], byte(n+1), 5*time.Millisecond); err != nil {
			return err
		}
	}
	// The machine with the widest link watches the store, and that of a zone passes changes on to it.
	for n, m := range []struct {
		name, zone string
		link       float64
	}{{"edge-pkc-a-1", "pkc-a", 1000}, {"edge-pkc-b-1", "pkc-b", 200}, {"edge-pkc-b-2", "pkc-b", 100}, {"edge-pkc-a-2", "pkc-a", 100}} {
		if _, err := w.newMachine(m.name, m.zone, byte(n+1), m.link); err != nil {
			return err
		}
	}
	go w.watchReadiness()
	time.Sleep(6 * time.Second)
	for z, zone := range zones {
		c, err := w.newClient(zone, byte(z+1))
		if err != nil {
			return err
		}
		go func() {
			for n := 0; !w.ended(); n++ {
				go c.once(uploads, n)
				time.Sleep(60 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)

	var acknowledged time.Time
	change := func() {
		w.store.put("op/evacuate/pkc-b", map[string]any{})
		acknowledged = time.Now()
		w.record.printf("operator: the evacuation of pkc-b is acknowledged")
		w.servers[2].drain()
	}
	if w.trouble {
		// Just after a check, so that the other machines have no reason to read the store themselves.
		checked := make(chan struct{})
		w.store.mu.Lock()
		w.store.checked = checked
		w.store.mu.Unlock()
		<-checked
		time.Sleep(50 * time.Millisecond)
		relay := w.machineNamed("edge-pkc-b-1")
		relay.kill()
		changed := make(chan struct{})
		w.store.mu.Lock()
		w.store.beforePage = func() {
			w.store.mu.Lock()
			w.store.beforePage = nil
			w.store.mu.Unlock()
			change()
			close(changed)
		}
		w.store.mu.Unlock()
		w.store.changeAndForget("op/config", w.newConfig([]*route{uploads}, 0))
		w.record.printf("operator: configuration %d acknowledged; the store has discarded its history", w.version)
		select {
		case <-changed:
		case <-time.After(5 * time.Second):
			return fmt.Errorf("no machine listed the store again")
		}
		time.Sleep(3 * time.Second)
		if err := relay.run(); err != nil {
			return err
		}
	} else {
		change()
	}

	time.Sleep(time.Until(acknowledged.Add(evacuationBound + stretchMost + 6*time.Second)))
	for _, s := range w.servers {
		if s.zone != "pkc-b" {
			continue
		}
		s.mu.Lock()
		for _, o := range s.openings {
			m := w.machineNamed(o.machine)
			if m != nil && m.inTouch() && o.taken.Sub(acknowledged) > evacuationBound+stretchMost {
				w.record.breaks("EVAC", "%s in pkc-b takes the opening packet of flow %v from %s, %.1f s after the evacuation",
					s.id, o.flow, o.machine, o.taken.Sub(acknowledged).Seconds())
			}
		}
		s.mu.Unlock()
	}
	return nil
}
