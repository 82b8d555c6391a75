package main

import (
	"fmt"
	"slices"
	"time"
)

// The bound of a cold server: the rate that it bears, the factor and the slack (WarmupPerS,
// WarmupFactor, WarmupSlack).
const (
	coldRate   = 2.0
	coldFactor = 1.5
	coldSlack  = 5
	coldTime   = 2 * time.Second
)

func init() { cases["cold"] = playCold }

// playCold: the servers of a zone lose power while the store is down, and come back cold under
// their ids.
func playCold(w *world) error {
	uploads := w.newRoute("uploads", "upload", "hisab", 1)
	w.publish([]*route{uploads}, coldRate)
	zones := []string{"pkc-a", "pkc-b"}
	for n := range 4 {
		s, err := w.newServer(fmt.Sprintf("i-7f3a91c%d", n), "hisab", zones[n%2], byte(n+1), 5*time.Millisecond)
		if err != nil {
			return err
		}
		s.warmup = coldTime
	}
	for n := range 4 {
		if _, err := w.newMachine(fmt.Sprintf("edge-%s-%d", zones[n%2], n/2+1), zones[n%2], byte(n+1), 1000); err != nil {
			return err
		}
	}
	go w.watchReadiness()
	time.Sleep(7 * time.Second)
	for z, zone := range zones {
		c, err := w.newClient(zone, byte(z+1))
		if err != nil {
			return err
		}
		go func() {
			for n := 0; !w.ended(); n++ {
				go c.once(uploads, n)
				time.Sleep(33 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.store.setSilent(true)
		w.record.printf("the store is down")
		time.Sleep(500 * time.Millisecond)
		for _, s := range w.servers {
			if s.zone == "pkc-b" {
				go s.losePower(time.Second)
			}
		}
		time.Sleep(4 * time.Second)
		w.store.setSilent(false)
		w.record.printf("the store is up again")
	}
	time.Sleep(6 * time.Second)
	for _, s := range w.servers {
		s.checkCold()
	}
	return nil
}

// checkCold checks how many opening packets the server took in each second while it was cold, of
// those that were sent in the same second.
func (s *server) checkCold() {
	const bound = coldRate*coldFactor + coldSlack
	s.mu.Lock()
	defer s.mu.Unlock()
	var cold []opening
	for _, o := range s.openings {
		if o.cold {
			cold = append(cold, o)
		}
	}
	most, from := 0, time.Time{}
	for _, first := range cold {
		n := 0
		for _, o := range cold {
			if !o.sent.Before(first.sent) && o.taken.Sub(first.sent) < time.Second {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	var machines []string
	for _, o := range cold {
		if !slices.Contains(machines, o.machine) {
			machines = append(machines, o.machine)
		}
	}
	s.w.record.printf("%s took at most %d opening packets in a second while it was cold, from %v", s.id, most, machines)
	if float64(most) > bound {
		s.w.record.breaks("FAILBACK", "the cold server %s took %d opening packets in the second from %.3f; the bound is %v", s.id, most,
			from.Sub(s.w.record.start).Seconds(), bound)
	}
}
