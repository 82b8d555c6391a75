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

// addressesMode lets scripts of other users read the addresses.
const addressesMode = 0o644

// Addresses are the endpoints of a running instance as others reach them.
type Addresses struct {
	Flows     netip.AddrPort `json:"flows"`
	Peers     netip.AddrPort `json:"peers"`
	Requests  netip.AddrPort `json:"requests"`
	Operators netip.AddrPort `json:"operators"`
}

// Write stores the addresses in a JSON file. The file appears whole or not at
// all, so that a script that waits for it never reads a part.
func (a Addresses) Write(path string) error {
	data, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return merry.Wrap(err)
	}
	partial, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return merry.Wrap(err)
	}
	_, err = partial.Write(append(data, '\n'))
	if err == nil {
		// CreateTemp makes the file readable for its owner only.
		err = partial.Chmod(addressesMode)
	}
	if closeErr := partial.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(partial.Name(), path)
	}
	if err != nil {
		_ = os.Remove(partial.Name()) // the write error is the one to report
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

// openSockets opens all sockets before any part starts, so that the instance
// knows its own addresses when it first announces itself.
func openSockets(s *settings.Settings) (*sockets, error) {
	o := &sockets{}
	var err error
	if o.flows, err = geneve.Listen(s.Listen.Flows); err != nil {
		return nil, socketError("listen.flows", err)
	}
	for _, l := range []struct {
		key    string
		at     netip.AddrPort
		target *net.Listener
	}{
		{"listen.peers", s.Listen.Peers, &o.peers},
		{"listen.requests", s.Listen.Requests, &o.requests},
		{"listen.operators", s.Listen.Operators, &o.operators},
	} {
		if *l.target, err = net.Listen("tcp", l.at.String()); err != nil {
			o.close()
			return nil, socketError(l.key, err)
		}
	}
	o.addresses = Addresses{
		Flows:     advertised(s.Advertise.Flows, o.flows.Address()),
		Peers:     advertised(s.Advertise.Peers, tcpAddress(o.peers)),
		Requests:  advertised(s.Advertise.Requests, tcpAddress(o.requests)),
		Operators: advertised(netip.AddrPort{}, tcpAddress(o.operators)),
	}
	return o, nil
}

func socketError(key string, err error) error {
	return merry.Wrap(ErrSocket, merry.WithCause(err), merry.AppendMessagef("%s: %v", key, err))
}

func tcpAddress(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// advertised returns the address that others use: the one from the settings,
// with the port that the socket has where the settings leave it open.
func advertised(set, bound netip.AddrPort) netip.AddrPort {
	bound = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	switch {
	case !set.IsValid():
		return bound
	case set.Port() == 0:
		return netip.AddrPortFrom(set.Addr(), bound.Port())
	default:
		return set
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
