// Package httpserve runs the HTTP servers of an instance.
package httpserve

import (
	"net"
	"net/http"
)

// Serve accepts connections on l until the server is closed, and returns nil then.
func Serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}
