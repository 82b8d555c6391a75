package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or an event of it.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Removed  bool `json:",omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[string]time.Time // last heartbeat of each server's entry
	events   []item
	changed  chan struct{}        // closed at each change
	watches  map[string]time.Time // start of each caller's watch in progress
	checked  map[string]time.Time // latest answer to each caller's check of the revision
}

// entryLifetime is the silence after which a server's entry is removed: three heartbeats.
const entryLifetime = 3 * heartbeat

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[string]time.Time{}, changed: make(chan struct{}),
		watches: map[string]time.Time{}, checked: map[string]time.Time{}}
	go s.expire()
	return s
}

// listen serves the store at an address to the given caller.
func (s *store) listen(addr, caller string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serve(func(r *http.Request) (any, int) {
		body, status := s.rangeItems(r)
		if r.URL.Query().Get("Prefix") != "" {
			s.mu.Lock()
			s.checked[caller] = time.Now()
			s.mu.Unlock()
		}
		return body, status
	}))
	mux.HandleFunc("GET /kv-watch", s.serve(func(r *http.Request) (any, int) {
		s.mu.Lock()
		s.watches[caller] = time.Now()
		s.mu.Unlock()
		body, status := s.watch(r)
		s.mu.Lock()
		delete(s.watches, caller)
		s.mu.Unlock()
		return body, status
	}))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	return nil
}

// watcher returns the caller with the latest watch in progress, or "".
func (s *store) watcher() (caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest time.Time
	for c, at := range s.watches {
		if at.After(latest) {
			caller, latest = c, at
		}
	}
	return caller
}

// checkedAt returns when the store last answered a caller's check of the revision.
func (s *store) checkedAt(caller string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checked[caller]
}

// serve answers with the result of f, after the 4 ms that an answer takes.
func (s *store) serve(f func(*http.Request) (any, int)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		body, status := f(r)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

type page struct {
	Items      []item `json:"items"`
	HasMore    bool
	CurrentRev uint64
}

func (s *store) rangeItems(r *http.Request) (any, int) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Items: []item{}, CurrentRev: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Items = append(p.Items, it)
		}
	}
	sort.Slice(p.Items, func(a, b int) bool { return p.Items[a].Key < p.Items[b].Key })
	if len(p.Items) > 500 {
		p.Items, p.HasMore = p.Items[:500], true
	}
	return p, http.StatusOK
}

type watched struct {
	Events     []item `json:"events"`
	CurrentRev uint64
}

func (s *store) watch(r *http.Request) (any, int) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := watched{Events: []item{}, CurrentRev: s.revision}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("Prefix")) {
				out.Events = append(out.Events, e)
			}
		}
		changed, current := s.changed, s.revision
		s.mu.Unlock()
		if after > current {
			return struct{}{}, http.StatusGone
		}
		if len(out.Events) > 0 {
			return out, http.StatusOK
		}
		select {
		case <-changed:
		case <-deadline:
			return out, http.StatusOK
		case <-r.Context().Done():
			return out, http.StatusOK
		}
	}
}

// put writes a key and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: encoded, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.publish(it)
	return time.Now()
}

// remove deletes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
	return time.Now()
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		delete(s.leases, key)
		s.publish(item{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *store) publish(e item) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// renew keeps the entry of a server alive.
func (s *store) renew(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[key] = time.Now()
}

// hold stops the expiry of an entry, which the caller then removes itself.
func (s *store) hold(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, key)
}

// expire removes entries of servers after entryLifetime without a heartbeat.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for key, at := range s.leases {
			if time.Since(at) > entryLifetime {
				s.drop(key)
				record("store: entry %s removed after %v of silence", key, time.Since(at).Round(time.Millisecond))
			}
		}
		s.mu.Unlock()
	}
}
