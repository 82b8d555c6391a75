package standin

import (
	"net/netip"

	"github.com/ansel1/merry/v2"
)

// CheckLoopback returns an error that names the flag unless its value is a loopback
// IP address and port: the stand-ins and the load tool must not send to other machines.
func CheckLoopback(flag, value string) error {
	if a, err := netip.ParseAddrPort(value); err != nil || !a.Addr().IsLoopback() {
		return merry.Errorf("--%s %q: must be a loopback IP address and port", flag, value)
	}
	return nil
}
