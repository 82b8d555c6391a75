// Package readiness serves the HTTP endpoint that reports whether an instance
// accepts new flows.
package readiness

import (
	"net/http"
	"time"
)

// Path is the path of the readiness endpoint.
const Path = "/readiness"

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 2 * time.Second

// NewServer returns an HTTP server that answers GET requests for Path with 200 if
// ready returns true, else with 503.
func NewServer(ready func() bool) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}
