package app

import (
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/adapter/geneve"
	"github.com/savorytiller/savorytiller/internal/adapter/settings"
)

// ErrSocket means that a socket could not be opened.
var ErrSocket = merry.Sentinel("cannot open socket")

// addressesFileMode lets scripts of other users read the file.
const addressesFileMode = 0o644

// Addresses are the endpoints at which others reach a running instance.
type Addresses struct {
	Flows     netip.AddrPort `json:"flows"`
	Peers     netip.AddrPort `json:"peers"`
	Requests  netip.AddrPort `json:"requests"`
	Operators netip.AddrPort `json:"operators"`
}

// Write writes the addresses to a JSON file. It writes a temporary file and renames
// it, so that a script that waits for the file never reads a part of it.
func (a Addresses) Write(path string) error {
	data, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return merry.Wrap(err)
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return merry.Wrap(err)
	}
	_, err = temporary.Write(append(data, '\n'))
	if err == nil {
		// os.CreateTemp makes the file readable by its owner only.
		err = temporary.Chmod(addressesFileMode)
	}
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name()) // the earlier error is returned
		return merry.Wrap(err)
	}
	return nil
}

// sockets are the listening sockets of an instance.
type sockets struct {
	flows     *geneve.Socket
	peers     net.Listener
	requests  net.Listener
	operators net.Listener
	addresses Addresses
}

// openSockets opens all sockets. It is called before any part starts, so that the
// instance knows its own addresses when it announces itself for the first time.
func openSockets(s *settings.Settings) (*sockets, error) {
	o := &sockets{}
	var err error
	if o.flows, err = geneve.Listen(s.Listen.Flows); err != nil {
		return nil, socketError("listen.flows", err)
	}
	for _, l := range []struct {
		key      string
		address  netip.AddrPort
		listener *net.Listener
	}{
		{"listen.peers", s.Listen.Peers, &o.peers},
		{"listen.requests", s.Listen.Requests, &o.requests},
		{"listen.operators", s.Listen.Operators, &o.operators},
	} {
		if *l.listener, err = net.Listen("tcp", l.address.String()); err != nil {
			o.close()
			return nil, socketError(l.key, err)
		}
	}
	o.addresses = Addresses{
		Flows:     advertisedAddress(s.Advertise.Flows, o.flows.Address()),
		Peers:     advertisedAddress(s.Advertise.Peers, tcpAddress(o.peers)),
		Requests:  advertisedAddress(s.Advertise.Requests, tcpAddress(o.requests)),
		Operators: advertisedAddress(netip.AddrPort{}, tcpAddress(o.operators)),
	}
	return o, nil
}

func socketError(key string, err error) error {
	return merry.Wrap(ErrSocket, merry.WithCause(err), merry.AppendMessagef("%s: %v", key, err))
}

func tcpAddress(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// advertisedAddress returns the address that the instance announces: the configured one
// if it is valid, with the bound port in place of port 0, and otherwise the bound one.
func advertisedAddress(configured, bound netip.AddrPort) netip.AddrPort {
	bound = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	switch {
	case !configured.IsValid():
		return bound
	case configured.Port() == 0:
		return netip.AddrPortFrom(configured.Addr(), bound.Port())
	default:
		return configured
	}
}

func (o *sockets) close() {
	if o.flows != nil {
		_ = o.flows.Close()
	}
	for _, l := range []net.Listener{o.peers, o.requests, o.operators} {
		if l != nil {
			_ = l.Close() // a second close of a listener is harmless
		}
	}
}
