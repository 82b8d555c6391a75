package flow

import "net/netip"

// maxSenders bounds the senders whose sequence numbers are remembered.
const maxSenders = 4096

// replayWindow accepts each sequence number of a sender once. Numbers that are
// 64 or more behind the highest one count as replayed (as RFC 4303, section
// 3.4.3 does).
type replayWindow struct {
	highest uint64
	seen    uint64
}

func (w *replayWindow) accept(sequence uint64) bool {
	switch {
	case sequence > w.highest:
		if shift := sequence - w.highest; shift < 64 {
			w.seen = w.seen<<shift | 1
		} else {
			w.seen = 1
		}
		w.highest = sequence
		return true
	case w.highest-sequence >= 64:
		return false
	}
	bit := uint64(1) << (w.highest - sequence)
	if w.seen&bit != 0 {
		return false
	}
	w.seen |= bit
	return true
}

// accept reports whether a message of a sender is new.
func (s *Shard) accept(sender netip.AddrPort, sequence uint64) bool {
	w := s.windows[sender]
	if w == nil {
		if len(s.windows) >= maxSenders {
			// Forgetting all is simple and rare: it lets old messages in once.
			clear(s.windows)
		}
		w = &replayWindow{}
		s.windows[sender] = w
	}
	return w.accept(sequence)
}
