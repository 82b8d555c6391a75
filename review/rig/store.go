package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Properties of the platform's store, as the users' pages and site files state them.
const (
	storeAnswerTime = 4 * time.Millisecond
	pageItems       = 500
	pageBytes       = 1 << 20
)

// item is a key with its value, or its removal.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Removed  bool `json:",omitempty"`
}

// store is the platform's store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	// discarded is the revision up to which the history was discarded.
	discarded uint64
	changed   chan struct{}
	// silent is set while the store is down: calls get no answer.
	silent bool
	// disturbedAt is when the store was last down or lost its history.
	disturbedAt time.Time
	// up is closed when the store is up again.
	up chan struct{}
	// beforePage is called before each page after the first one of a listing of all keys.
	beforePage func()
	// checked, if set, is closed with the next read of the keys below op/evacuate/, by which the
	// machine that watches the store checks its revision.
	checked chan struct{}
	server  *http.Server
	address netip.AddrPort
}

func newStore(address netip.Addr) (*store, error) {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, revision: 1, changed: make(chan struct{}), up: make(chan struct{}),
		address: l.Addr().(*net.TCPAddr).AddrPort()}
	close(s.up)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }() // ends when the server is closed
	return s, nil
}

// put writes a key. The store has acknowledged the change when put returns.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	encoded, _ := json.Marshal(value)
	s.write(item{Key: key, Value: encoded})
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Removed: true})
}

// write applies a change. The caller holds the mutex.
func (s *store) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if before, ok := s.items[i.Key]; ok {
		i.Created = before.Created
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.wake()
}

// wake ends the waits of all watches. The caller holds the mutex.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beat is the heartbeat of a server. current is what the server says of itself with the sequence
// that it wrote last, and next the same with a new one: the entry changes only if more than the
// sequence does. beat reports whether the store was up.
func (s *store) beat(key string, current, next any) (up, written bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false, false
	}
	before, _ := json.Marshal(current)
	if i, ok := s.items[key]; ok && string(i.Value) == string(before) {
		return true, false
	}
	encoded, _ := json.Marshal(next)
	s.write(item{Key: key, Value: encoded})
	return true, true
}

// isSilent reports whether the store is down.
func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// changeAndForget writes a key of which the watches hear nothing, forgets all changes, and cuts the
// waiting watches.
func (s *store) changeAndForget(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	encoded, _ := json.Marshal(value)
	s.write(item{Key: key, Value: encoded})
	s.discarded, s.history, s.disturbedAt = s.revision, nil, time.Now()
}

// setSilent takes the store down or brings it back.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == silent {
		return
	}
	s.silent, s.disturbedAt = silent, time.Now()
	if silent {
		s.up = make(chan struct{})
	} else {
		close(s.up)
	}
	s.wake()
}

// calm reports whether the store has been undisturbed for some time.
func (s *store) calm(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silent && time.Since(s.disturbedAt) > d
}

// waitUp blocks while the store is down. It returns false if the caller gave up.
func (s *store) waitUp(r *http.Request) bool {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	select {
	case <-up:
		time.Sleep(storeAnswerTime)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if !s.waitUp(r) {
		return
	}
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	if prefix == "op/evacuate/" && s.checked != nil {
		close(s.checked)
		s.checked = nil
	}
	hook := s.beforePage
	s.mu.Unlock()
	if hook != nil && prefix == "" && after != "" {
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, bytes := []item{}, 0
	for _, key := range keys {
		if len(page) == pageItems || bytes >= pageBytes {
			break
		}
		page, bytes = append(page, s.items[key]), bytes+len(s.items[key].Value)
	}
	s.answer(w, map[string]any{"items": page, "HasMore": len(page) < len(keys), "CurrentRev": s.revision})
}

// answer writes an answer of the store.
func (s *store) answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.waitUp(r) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		changed, silent := s.changed, s.silent
		switch {
		case silent:
		case after < s.discarded || after > s.revision:
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		case s.revision > after || timedOut:
			events := []item{}
			for _, i := range s.history {
				if i.Revision > after {
					events = append(events, i)
				}
			}
			s.answer(w, map[string]any{"events": events, "CurrentRev": s.revision})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
