package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its removal.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Removed  bool `json:",omitempty"`
	at       time.Time
}

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	// down is set while the store answers nobody and accepts no writes.
	down bool
	addr string
}

func newStore(l net.Listener) *store {
	s := &store{items: map[string]item{}, revision: 10, changed: make(chan struct{}), addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return s
}

// put writes a key, or removes it if the value is nil. It reports whether the store has
// acknowledged that.
func (s *store) put(key string, value any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	i := item{Key: key, Revision: s.revision, Created: s.revision, Removed: value == nil, at: time.Now()}
	if value == nil {
		i.Created = 0
		delete(s.items, key)
	} else {
		i.Value, _ = json.Marshal(value)
		if old, ok := s.items[key]; ok {
			i.Created = old.Created
		}
		s.items[key] = i
	}
	s.history = append(s.history, i)
	for i.at.Sub(s.history[0].at) > historyTime {
		s.forgotten, s.history = s.history[0].Revision, s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// setDown makes the store silent, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// silent reports whether the store is down. If so, it holds the call until the caller gives up and
// breaks the connection.
func (s *store) silent(r *http.Request) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		<-r.Context().Done()
	}
	return down
}

func answer(w http.ResponseWriter, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	if s.silent(r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("Prefix")) && key > r.FormValue("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, map[string]any{"items": items, "HasMore": false, "CurrentRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.silent(r) {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("Prefix")) {
				events = append(events, i)
			}
		}
		changed, revision, forgotten := s.changed, s.revision, s.forgotten
		s.mu.Unlock()
		if after < forgotten {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, map[string]any{"events": events, "CurrentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
