// Package readiness answers over HTTP whether an instance takes new flows.
package readiness

import (
	"net/http"
	"time"
)

// Path is the path of the readiness endpoint.
const Path = "/readiness"

// headerTimeout bounds the time to read a request.
const headerTimeout = 2 * time.Second

// Server returns a server that answers 200 while ready returns true, else 503.
func Server(ready func() bool) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}
