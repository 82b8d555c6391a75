package flow

import (
	"math/bits"
	"time"
	"unsafe"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// role says what a record is good for.
type role uint8

const (
	// roleOwn is a flow that this instance decides about. A free slot has role 0.
	roleOwn role = iota + 1
	// roleHint is a flow of another owner that may be sent directly for a while.
	roleHint
	// roleCopy is a flow of another owner, kept for lookups and for the case
	// that this instance becomes the owner.
	roleCopy
)

// Flags of a record. They share 32 bits with the service's number (24 bits).
const (
	roleShift            = 24
	roleMask      uint32 = 3 << roleShift
	flagEstablish uint32 = 1 << 26 // the caller acknowledged the server's SYN
	flagProgress  uint32 = 1 << 27 // the caller acknowledged data
	flagClosing   uint32 = 1 << 28 // a FIN or RST was seen
	flagException uint32 = 1 << 29 // the server differs from a retained table
	flagSent      uint32 = 1 << 30 // the exception was sent to its target
	flagSilent    uint32 = 1 << 31 // reported as silent
	// flagCounted is set on copies that use a connection of a server in this
	// zone; copies need no flagProgress.
	flagCounted = flagProgress
	// flagClaim is set on hints whose next packet goes through the owner, so
	// that a new owner learns the flow; hints need no flagSent.
	flagClaim           = flagSent
	serviceMask  uint32 = 1<<roleShift - 1
	counterShift        = 28
	counterMax          = 15
	tickMask     uint32 = 1<<counterShift - 1
	tickShift           = 26 // a tick is 2^26 ns, 67 ms; 28 bits wrap after 208 days
	bornShift           = 35 // a birth unit is 2^35 ns, 34 s; 16 bits wrap after 26 days
	// A segment has 24 KB: its split takes some 10 us, and the directory stays in
	// the second-level cache at 10^6 flows.
	segmentSlots   = 1024
	segmentLimit   = 896 // 7/8: right after a split a flow takes 55 bytes
	mergeLimit     = segmentLimit / 2
	maxDepth       = 24
	directoryShift = 64
)

// record is one flow: 24 bytes without pointers, so the garbage collector does
// not scan the segments.
type record struct {
	fingerprint uint64
	server      uint32
	word        uint32 // service, role and flags
	seen        uint32 // tick of the last packet, and a 4-bit counter
	// extra is the birth unit (high half) and the last acknowledgement (low
	// half) of own flows and copies, and the tick of the expiry of hints.
	extra uint32
}

func (r *record) role() role               { return role(r.word & roleMask >> roleShift) }
func (r *record) setRole(x role)           { r.word = r.word&^roleMask | uint32(x)<<roleShift }
func (r *record) service() model.ServiceID { return model.ServiceID(r.word & serviceMask) }

// ref names the server of the flow.
func (r *record) ref() view.ServerRef { return view.ServerRef{Service: r.service(), Number: r.server} }

func (r *record) has(flag uint32) bool { return r.word&flag != 0 }

// counted reports whether a record uses a connection of its server. A flow that
// the caller has closed does not: its record stays for ClosingTimeout, but the
// server has freed the connection.
func (r *record) counted() bool {
	if r.role() == roleOwn {
		return !r.has(flagClosing)
	}
	return r.has(flagCounted)
}

func (r *record) counter() uint32 { return r.seen >> counterShift }
func (r *record) born() uint16    { return uint16(r.extra >> 16) }

func (r *record) touch(tick uint32) {
	if r.seen&tickMask != tick {
		r.seen = r.seen&^tickMask | tick
	}
}

func (r *record) setCounter(n uint32) {
	r.seen = r.seen&tickMask | min(n, counterMax)<<counterShift
}

// idle returns the ticks since the last packet.
func (r *record) idle(tick uint32) uint32 { return (tick - r.seen) & tickMask }

// expired reports whether a hint may no longer be sent directly.
func (r *record) expired(tick uint32) bool {
	left := (r.extra - tick) & tickMask
	return left == 0 || left > tickMask/2
}

// expire turns a hint into a copy. It needs not be sent to the owner, which
// gave the hint.
func (r *record) expire(now model.Time) {
	r.setRole(roleCopy)
	r.word |= flagSent
	r.extra = uint32(bornOf(now)) << 16
}

func tickOf(now model.Time) uint32 { return uint32(uint64(now)>>tickShift) & tickMask }

// ticks converts a duration, rounded up.
func ticks(d time.Duration) uint32 {
	return uint32(min((d+1<<tickShift-1)>>tickShift, time.Duration(tickMask/2)))
}

func bornOf(now model.Time) uint16 { return uint16(uint64(now) >> bornShift) }

// records is an extendible hash table (Fagin et al., 1979): a directory of
// segments with linear probing. A full segment splits alone, so growth costs a
// few microseconds at a time instead of one pause for the whole table.
type records struct {
	directory []*segment // by the highest depth bits of the hash
	segments  []*segment
	free      []uint32 // unused indexes of segments
	depth     uint8
	len       int
}

type segment struct {
	slots [segmentSlots]record
	used  uint16
	depth uint8
	index uint32 // in records.segments
	// prefix holds the depth highest bits that all hashes share.
	prefix uint32
}

func newRecords() *records {
	first := &segment{}
	return &records{directory: []*segment{first}, segments: []*segment{first}}
}

// spread turns a fingerprint into the bits that place it. The shard took the
// upper half of the fingerprint, so all bits must count.
func spread(fingerprint uint64) uint64 {
	hi, lo := bits.Mul64(fingerprint, 0x9e3779b97f4a7c15)
	return hi ^ lo
}

func (t *records) segmentOf(h uint64) *segment {
	return t.directory[h>>(directoryShift-t.depth)]
}

// find returns the record of a flow, or nil.
func (t *records) find(fingerprint uint64) *record {
	h := spread(fingerprint)
	s := t.segmentOf(h)
	for i := h; ; i++ {
		r := &s.slots[i%segmentSlots]
		if r.word == 0 {
			return nil
		}
		if r.fingerprint == fingerprint {
			return r
		}
	}
}

// insert returns a new, empty record for a flow that is not in the table. The
// caller must set its role at once. Earlier pointers become invalid.
func (t *records) insert(fingerprint uint64) *record {
	h := spread(fingerprint)
	s := t.segmentOf(h)
	for s.used >= segmentLimit && s.depth < maxDepth {
		t.split(s)
		s = t.segmentOf(h)
	}
	if s.used >= segmentSlots-1 {
		return nil
	}
	s.used++
	t.len++
	r := s.place(h)
	r.fingerprint = fingerprint
	return r
}

// place returns the first free slot of the probe sequence of a hash.
func (s *segment) place(h uint64) *record {
	i := h % segmentSlots
	for s.slots[i].word != 0 {
		i = (i + 1) % segmentSlots
	}
	return &s.slots[i]
}

// remove deletes a record that find returned.
func (t *records) remove(fingerprint uint64) {
	h := spread(fingerprint)
	s := t.segmentOf(h)
	for i := h % segmentSlots; s.slots[i].word != 0; i = (i + 1) % segmentSlots {
		if s.slots[i].fingerprint == fingerprint {
			s.removeAt(i)
			t.len--
			return
		}
	}
}

// removeAt frees a slot and moves later records of its cluster back, so that
// no probe sequence has a gap.
func (s *segment) removeAt(hole uint64) {
	s.used--
	for i := (hole + 1) % segmentSlots; s.slots[i].word != 0; i = (i + 1) % segmentSlots {
		home := spread(s.slots[i].fingerprint)
		if (i-home)%segmentSlots >= (i-hole)%segmentSlots {
			s.slots[hole] = s.slots[i]
			hole = i
		}
	}
	s.slots[hole] = record{}
}

// split divides a segment in two.
func (t *records) split(s *segment) {
	if s.depth == t.depth {
		doubled := make([]*segment, 2*len(t.directory))
		for i := range doubled {
			doubled[i] = t.directory[i/2]
		}
		t.directory = doubled
		t.depth++
	}
	low := &segment{depth: s.depth + 1, prefix: s.prefix << 1, index: s.index}
	high := &segment{depth: s.depth + 1, prefix: s.prefix<<1 | 1}
	for i := range s.slots {
		r := &s.slots[i]
		if r.word == 0 {
			continue
		}
		h := spread(r.fingerprint)
		to := low
		if h>>(directoryShift-high.depth)&1 == 1 {
			to = high
		}
		*to.place(h) = *r
		to.used++
	}
	t.segments[s.index] = low
	t.take(high)
	t.point(low)
	t.point(high)
}

// take stores a segment under an unused index.
func (t *records) take(s *segment) {
	if n := len(t.free); n > 0 {
		s.index = t.free[n-1]
		t.free = t.free[:n-1]
		t.segments[s.index] = s
		return
	}
	s.index = uint32(len(t.segments))
	t.segments = append(t.segments, s)
}

// point directs all hashes with the segment's prefix to it.
func (t *records) point(s *segment) {
	wide := t.depth - s.depth
	for i := uint32(0); i < 1<<wide; i++ {
		t.directory[s.prefix<<wide|i] = s
	}
}

// merge joins a sparse segment with its sibling, so that memory follows the
// number of flows down as well. It reports whether it did.
func (t *records) merge(index uint32) bool {
	s := t.segments[index]
	if s == nil || s.depth == 0 || s.used > mergeLimit/2 {
		return false
	}
	o := t.directory[(s.prefix^1)<<(t.depth-s.depth)]
	if o.depth != s.depth || s.used+o.used > mergeLimit {
		return false
	}
	joined := &segment{depth: s.depth - 1, prefix: s.prefix >> 1, index: index}
	for _, from := range []*segment{s, o} {
		for i := range from.slots {
			if from.slots[i].word != 0 {
				*joined.place(spread(from.slots[i].fingerprint)) = from.slots[i]
			}
		}
	}
	joined.used = s.used + o.used
	t.segments[index], t.segments[o.index] = joined, nil
	t.free = append(t.free, o.index)
	t.point(joined)
	return true
}

// bytes returns the memory of the table.
func (t *records) bytes() int {
	return (len(t.segments)-len(t.free))*int(unsafe.Sizeof(segment{})) + 8*len(t.directory) + 8*len(t.segments) + 4*len(t.free)
}
