package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["entry"] = playEntry }

// playEntry: another writer writes an entry without born and Version under the id of a server that
// serves. Long flows whose requests may not be repeated are open at that server.
func playEntry(w *world) error {
	queries := w.newRoute("queries", "non_idempotent", "narkh", 1)
	w.publish([]*route{queries}, 0)
	zones := []string{"pkc-a", "pkc-b"}
	for n := range 4 {
		if _, err := w.newServer(fmt.Sprintf("i-7f3a91c%d", n), "narkh", zones[n%2], byte(n+1), 50*time.Millisecond); err != nil {
			return err
		}
	}
	for n := range 4 {
		if _, err := w.newMachine(fmt.Sprintf("edge-%s-%d", zones[n%2], n/2+1), zones[n%2], byte(n+1), 1000); err != nil {
			return err
		}
	}
	go w.watchReadiness()
	time.Sleep(6 * time.Second)

	var group sync.WaitGroup
	stop := make(chan struct{})
	for z, zone := range zones {
		c, err := w.newClient(zone, byte(z+1))
		if err != nil {
			return err
		}
		for n := range 10 {
			group.Go(func() { feed(c, queries, n, stop) })
		}
	}
	time.Sleep(6 * time.Second)
	if w.trouble {
		s := w.servers[0]
		w.store.put(s.key(), map[string]any{"Service": s.service, "Address": s.address.String(), "Zone": s.zone, "Slots": 4,
			"State": "ready", "WarmupLeftMs": 0, "Sequence": 1})
		w.record.printf("another writer writes an entry without born and Version under %s", s.key())
	}
	time.Sleep(12 * time.Second)
	close(stop)
	group.Wait()
	return nil
}

// feed keeps long flows with a request every 300 ms, and opens the next one when one ends.
func feed(c *client, r *route, n int, stop chan struct{}) {
	for count := 0; ; {
		select {
		case <-stop:
			return
		default:
		}
		f, o := c.open(r)
		if o != succeeded {
			c.w.record.printf("client: flow %d of %s is not opened: %v", n, c.zone, o)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		c.w.record.printf("client: flow %v is open", f.id)
		for o == succeeded {
			select {
			case <-stop:
				f.close()
				return
			default:
			}
			count++
			text := fmt.Sprintf("%s-%d-%d", c.zone, n, count)
			if o = f.request(text); o != succeeded {
				c.w.record.printf("client: request %s on flow %v: %v", text, f.id, o)
			} else {
				o = f.idle(300 * time.Millisecond)
			}
		}
		if o == systemReset {
			c.w.checkReset(f)
		}
	}
}

// checkReset checks the reset of an open flow that no server wrote: the rule is broken if the run at
// which it opened lives, the server and its links were undisturbed for ContactMs, and the machine
// that took the packets and the one that sent the reset are in touch.
func (w *world) checkReset(f *clientFlow) {
	at := w.runOf(f.id)
	if at.server == nil {
		return // the flow never opened
	}
	via, sender := w.machineNamed(w.machineAt(f.via)), w.machineNamed(w.machineAt(f.resetBy))
	if !at.lives(touch) || via == nil || !via.inTouch() || sender == nil || !sender.inTouch() || !w.store.calm(touch) {
		w.record.printf("client: the system resets the open flow %v, and its run has ended or something was disturbed", f.id)
		return
	}
	w.record.breaks("FLOW", "%s resets the open flow %v, whose server %s lives", sender.name, f.id, at.server.id)
}
