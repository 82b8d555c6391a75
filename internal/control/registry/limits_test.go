package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// largeMessage returns a part of a change set with about 1 MB of routes.
func largeMessage(from model.InstanceID, part int) *peer.Message {
	return &peer.Message{Kind: peer.Changes, From: model.Member{ID: from, Zone: "z0"}, CallID: 1, Part: part, Parts: 1000,
		Entries: []catalog.Entry{{Key: "config", Config: &catalog.Configuration{Version: 1, Routes: make([]catalog.Route, 10_000)}}}}
}

// Guards against a queue of messages with large configurations that grows beyond the memory of the
// machine while the control goroutine is busy.
func TestQueuedMessagesAreLimitedInBytes(t *testing.T) {
	c := &Control{events: make(chan event, eventQueueSize)}
	m := largeMessage("n01", 0)
	for range eventQueueSize {
		c.Receive(m)
	}
	require.Len(t, c.events, maxQueuedBytes/m.RetainedBytes())
	c.Receive(&peer.Message{Kind: peer.Probe})
	require.Len(t, c.events, maxQueuedBytes/m.RetainedBytes()+1, "messages without entries are still received")
	require.LessOrEqual(t, c.queuedBytes.Load(), int64(maxQueuedBytes))
}

// Guards against incomplete change sets whose memory grows with the number of their senders, and that
// stay until the next one arrives.
func TestIncompleteChangeSetsAreLimitedInBytes(t *testing.T) {
	f := newRunningFleet(t, 2, 1)
	p := &f.nodes[1].peers
	for i := range 100 {
		_, ok := p.collectParts(f.now+model.Time(i), largeMessage(model.InstanceID(rune('a'+i%50)), i))
		require.False(t, ok)
		bytes := 0
		for _, c := range p.partials {
			bytes += c.bytes
		}
		require.LessOrEqual(t, bytes, maxPartialBytes)
	}
	require.NotEmpty(t, p.partials)
	f.run(partialTimeout + 2*time.Second)
	require.Empty(t, p.partials)
}
