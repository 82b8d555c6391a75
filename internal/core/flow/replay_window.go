package flow

import "net/netip"

// maxSenders bounds the senders whose sequence numbers are kept.
const maxSenders = 4096

// replayWindow accepts each sequence number of a sender once. Numbers that are 64
// or more below the highest one are rejected as replayed, as in RFC 4303, section
// 3.4.3.
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

// accept reports whether a message's sequence number is new for its sender, and
// records it.
func (s *Shard) accept(sender netip.AddrPort, sequence uint64) bool {
	w := s.replayWindows[sender]
	if w == nil {
		if len(s.replayWindows) >= maxSenders {
			// This happens rarely, so all windows are cleared for simplicity. An
			// old message can then be accepted once more.
			clear(s.replayWindows)
		}
		w = &replayWindow{}
		s.replayWindows[sender] = w
	}
	return w.accept(sequence)
}
