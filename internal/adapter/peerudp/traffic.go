package peerudp

import (
	"sync/atomic"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// Total is a number of messages and of their bytes without the headers of UDP and IP.
type Total struct {
	Messages, Bytes uint64
}

// Traffic is what a socket has sent and received since it was opened.
type Traffic struct {
	Cause peer.Cause
	// OwnZone is set for messages within the availability zone. Messages to addresses whose
	// zone is unknown, such as seeds, count as messages to other zones.
	OwnZone        bool
	Sent, Received Total
}

// total counts messages. It can be read while it is updated.
type total struct {
	messages, bytes atomic.Uint64
}

func (t *total) add(bytes int) {
	t.messages.Add(1)
	t.bytes.Add(uint64(bytes))
}

func (t *total) load() Total { return Total{t.messages.Load(), t.bytes.Load()} }

// traffic holds the counters of a socket, by cause and by whether the message stays in the
// availability zone.
type traffic struct {
	zone           model.Zone
	sent, received [peer.Causes][2]total
}

func (t *traffic) scope(zone model.Zone) int {
	if zone == t.zone {
		return 1
	}
	return 0
}

// Traffic returns the totals of all causes, within the zone and between zones.
func (s *Socket) Traffic() []Traffic {
	out := make([]Traffic, 0, 2*peer.Causes)
	for cause := range peer.Causes {
		for scope := range 2 {
			out = append(out, Traffic{Cause: cause, OwnZone: scope == 1,
				Sent: s.traffic.sent[cause][scope].load(), Received: s.traffic.received[cause][scope].load()})
		}
	}
	return out
}
