package standin

import (
	"net/netip"

	"github.com/ansel1/merry/v2"
)

// CheckLoopback returns an error that names the flag unless its value is an address on
// this machine: stand-ins and load stay on loopback.
func CheckLoopback(flag, value string) error {
	if a, err := netip.ParseAddrPort(value); err != nil || !a.Addr().IsLoopback() {
		return merry.Errorf("--%s %q: must be a loopback IP number and port", flag, value)
	}
	return nil
}
