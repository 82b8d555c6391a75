package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["resets"] = playResets }

const (
	feeds      = 600
	feedPeriod = 11 * time.Second
	extraAfter = 2 * time.Second
	cutTime    = 1500 * time.Millisecond
)

// playResets: feeds that may be repeated are read every 11 s, all at the same time. Between two
// rounds a server is cut off for 1.5 s, and a single feed is read meanwhile.
func playResets(w *world) error {
	rates := w.newRoute("rates", "idempotent", "narkh", 1)
	w.publish([]*route{rates}, 0)
	const zone = "pkc-a"
	for n := range 3 {
		if _, err := w.newServer(fmt.Sprintf("i-7f3a91c%d", n), "narkh", zone, byte(n+1), 5*time.Millisecond); err != nil {
			return err
		}
	}
	for n := range 4 {
		if _, err := w.newMachine(fmt.Sprintf("edge-%s-%d", zone, n+1), zone, byte(n+1), 1000); err != nil {
			return err
		}
	}
	go w.watchReadiness()
	time.Sleep(7 * time.Second)
	c, err := w.newClient(zone, 1)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	first := time.Now().Add(4 * time.Second)
	extra := make(chan *server, 1)
	extra <- w.servers[0]
	for n := range feeds {
		group.Go(func() { (&reader{c: c, route: rates, n: n}).read(first, extra) })
	}
	time.Sleep(time.Until(first.Add(extraAfter - 200*time.Millisecond)))
	if w.trouble {
		w.servers[0].cut(cutTime)
	}
	group.Wait()
	return nil
}

// reader reads one feed.
type reader struct {
	c     *client
	route *route
	n     int
	flow  *clientFlow
}

// read reads the feed in two rounds. extra is closed when a single feed is read between them; the
// first reader of the server that is cut off then does so.
func (r *reader) read(first time.Time, extra chan *server) {
	time.Sleep(time.Duration(r.n) * 5 * time.Millisecond)
	if !r.open() {
		return
	}
	at := func(round int) time.Time { return first.Add(time.Duration(round) * feedPeriod) }
	if !r.ok(r.flow.idle(time.Until(at(0)))) || !r.ok(r.flow.request(fmt.Sprintf("feed-%d-0", r.n))) {
		return
	}
	if !r.ok(r.flow.idle(time.Until(first.Add(extraAfter)))) {
		return
	}
	select {
	case s := <-extra:
		if r.c.w.runOf(r.flow.id).server != s {
			extra <- s
			break
		}
		r.c.w.record.printf("client: feed %d is read once more on flow %v", r.n, r.flow.id)
		if o := r.flow.request(fmt.Sprintf("feed-%d-extra", r.n)); !r.ok(o) {
			if r.open() {
				r.ok(r.flow.request(fmt.Sprintf("feed-%d-again", r.n)))
			}
			return
		}
	default:
	}
	if r.ok(r.flow.idle(time.Until(at(1)))) && r.ok(r.flow.request(fmt.Sprintf("feed-%d-1", r.n))) && r.ok(r.flow.idle(3*time.Second)) {
		r.flow.close()
	}
}

// open opens the flow of the feed.
func (r *reader) open() bool {
	f, o := r.c.open(r.route)
	r.flow = f
	if o != succeeded {
		r.c.w.record.printf("client: feed %d is not opened: %v", r.n, o)
	}
	return o == succeeded
}

// ok records an outcome other than success and reports whether it was one.
func (r *reader) ok(o outcome) bool {
	if o != succeeded {
		r.c.w.record.printf("client: feed %d on flow %v: %v", r.n, r.flow.id, o)
		if o == systemReset {
			r.c.w.checkReset(r.flow)
		}
	}
	return o == succeeded
}
