package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

func noteKey(version uint64) string { return fmt.Sprintf("release/%d", version) }

// Handler serves the endpoints for readers and, below /standin, those for
// operators and scripts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key...}", p.serveKey)
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		reply := make(chan wire.InstanceList, 1)
		p.events <- listEvent{reply}
		writeJSON(w, <-reply)
	})
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		reply := make(chan Stats, 1)
		p.events <- statsEvent{reply}
		writeJSON(w, <-reply)
	})
	mux.HandleFunc("POST /standin/publish", p.servePublish)
	mux.HandleFunc("PUT /standin/keys/{key...}", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueSize))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		p.events <- putEvent{r.PathValue("key"), string(value)}
	})
	mux.HandleFunc("POST /standin/mode", func(w http.ResponseWriter, r *http.Request) {
		mode, err := ParseMode(r.FormValue("mode"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.events <- modeEvent{mode}
	})
	mux.HandleFunc("POST /standin/instances", func(w http.ResponseWriter, r *http.Request) {
		var instance wire.Instance
		if err := json.NewDecoder(r.Body).Decode(&instance); err != nil || instance.ID == "" {
			http.Error(w, fmt.Sprintf("instance is malformed or has no id: %v", err), http.StatusBadRequest)
			return
		}
		p.events <- instanceEvent{instance: instance}
	})
	mux.HandleFunc("DELETE /standin/instances/{id}", func(_ http.ResponseWriter, r *http.Request) {
		p.events <- instanceEvent{instance: wire.Instance{ID: r.PathValue("id")}, removed: true}
	})
	return mux
}

func (p *Platform) serveKey(w http.ResponseWriter, r *http.Request) {
	event := readEvent{key: r.PathValue("key"), reply: make(chan readReply, 1)}
	if value := r.FormValue("watch"); value != "" {
		known, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			http.Error(w, "watch: must be a revision number", http.StatusBadRequest)
			return
		}
		event.watch, event.knownRevision = true, known
	}
	p.events <- event
	select {
	case <-r.Context().Done():
	case a := <-event.reply:
		switch a.status {
		case statusNotFound:
			http.Error(w, "key not found", http.StatusNotFound)
		case statusDown:
			http.Error(w, "configuration service is down", http.StatusServiceUnavailable)
		case statusOverBudget:
			http.Error(w, "read budget exceeded", http.StatusTooManyRequests)
		default:
			w.Header().Set("Revision", strconv.FormatUint(a.revision, 10))
			_, _ = w.Write(a.value)
		}
	}
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request) {
	var note wire.Note
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueSize)).Decode(&note); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.events <- publishEvent{&note}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
