package backendhttp

import (
	"net/http"
	"strings"
)

// notForwarded lists the headers that belong to one connection (RFC 9110,
// section 7.6.1), that net/http sets itself, or that this system uses.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
	HeaderRequestID: true, HeaderRequestTimeout: true, HeaderShed: true,
	HeaderKey: true, "Attempt": true, "Outcome": true, "Outcome-Reason": true,
}

// dropped reports whether a header is not forwarded. all are the headers of the message.
func dropped(all map[string][]string, name string) bool {
	name = http.CanonicalHeaderKey(name)
	if notForwarded[name] {
		return true
	}
	for _, value := range all["Connection"] {
		for _, token := range strings.Split(value, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(token)) == name {
				return true
			}
		}
	}
	return false
}
