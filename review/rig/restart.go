package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["restart"] = playRestart }

const (
	restartFeeds = 400
	// feedPause is the pause between the two requests of a flow. It is longer than ContactMs.
	feedPause = 6 * time.Second
	// killTime is how long the machine that reads the store is down. The servers end restartAfter
	// later, for restartTime.
	killTime     = 3400 * time.Millisecond
	restartAfter = 100 * time.Millisecond
	restartTime  = 100 * time.Millisecond
)

// playRestart: the machine that reads the store is killed, and the servers of its zone crash and
// start again under their ids. Flows that may not be repeated open all the time, and each has a
// second request 6 s after the first.
func playRestart(w *world) error {
	changes := w.newRoute("changes", "non_idempotent", "narkh", 1)
	w.publish([]*route{changes}, 0)
	zones := []string{"pkc-a", "pkc-b"}
	for n := range 6 {
		s, err := w.newServer(fmt.Sprintf("i-7f3a91c%d", n), "narkh", zones[n%2], byte(n+1), 5*time.Millisecond)
		if err != nil {
			return err
		}
		s.warmup = coldTime
	}
	// The machine with the widest link watches the store.
	links := []float64{1000, 200, 100, 100}
	for n := range 4 {
		if _, err := w.newMachine(fmt.Sprintf("edge-%s-%d", zones[n%2], n/2+1), zones[n%2], byte(n+1), links[n]); err != nil {
			return err
		}
	}
	go w.watchReadiness()
	time.Sleep(7 * time.Second)
	var group sync.WaitGroup
	stop := make(chan struct{})
	for z, zone := range zones {
		c, err := w.newClient(zone, byte(z+1))
		if err != nil {
			return err
		}
		for n := range restartFeeds / len(zones) {
			group.Go(func() { c.changeFeed(changes, n, stop) })
		}
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		reader := w.machineNamed("edge-pkc-a-1")
		reader.kill()
		time.Sleep(restartAfter)
		var crashes sync.WaitGroup
		for _, s := range w.servers {
			if s.zone == reader.zone {
				crashes.Go(func() { s.crash(restartTime) })
			}
		}
		crashes.Wait()
		time.Sleep(killTime - restartAfter - restartTime)
		if err := reader.run(); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	group.Wait()
	return nil
}

// changeFeed opens flows one after the other, each with two requests.
func (c *client) changeFeed(r *route, n int, stop chan struct{}) {
	time.Sleep(time.Duration(rand.Int64N(int64(feedPause))))
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		default:
		}
		f, o := c.open(r)
		if o != succeeded {
			c.w.record.printf("client: flow %d-%d of %s is not opened: %v", n, count, c.zone, o)
			continue
		}
		if o = f.request(fmt.Sprintf("%s-%d-%d-first", c.zone, n, count)); o == succeeded {
			if o = f.idle(feedPause); o == succeeded {
				o = f.request(fmt.Sprintf("%s-%d-%d-second", c.zone, n, count))
			}
		}
		if o == succeeded {
			f.close()
			continue
		}
		c.w.record.printf("client: flow %d-%d of %s, %v: %v", n, count, c.zone, f.id, o)
		if o == systemReset {
			c.w.checkReset(f)
		}
	}
}
