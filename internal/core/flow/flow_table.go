package flow

import (
	"math/bits"
	"time"
	"unsafe"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// role is why this instance has a record of a flow.
type role uint8

const (
	// roleOwned marks a flow that this instance owns, that is, decides about. A
	// free slot has role 0.
	roleOwned role = iota + 1
	// roleHint marks a flow of another owner whose packets this instance may send
	// directly to the server until the hint expires.
	roleHint
	// roleCopy marks a flow of another owner, kept to answer lookups and in case
	// this instance becomes the owner.
	roleCopy
)

// Flags of a record. They share 32 bits with the role and the service's number
// (24 bits).
const (
	roleShift              = 24
	roleMask        uint32 = 3 << roleShift
	flagEstablished uint32 = 1 << 26 // the caller acknowledged the server's SYN
	flagProgress    uint32 = 1 << 27 // the caller acknowledged data of the server
	flagClosing     uint32 = 1 << 28 // a FIN or RST was seen
	flagException   uint32 = 1 << 29 // another instance must have a copy (resolver.isException)
	flagSent        uint32 = 1 << 30 // the exception was sent to its copy holder
	flagSilent      uint32 = 1 << 31 // the flow was reported as silent
	// flagCounted is set on copies that count as a connection of a server in this
	// zone. It shares the bit of flagProgress, which copies do not use.
	flagCounted = flagProgress
	// flagViaOwner is set on hints whose next packet must go through the owner,
	// so that a new owner gets a record of the flow. It shares the bit of
	// flagSent, which hints do not use.
	flagViaOwner        = flagSent
	serviceMask  uint32 = 1<<roleShift - 1
	counterShift        = 28
	counterMax          = 15
	tickMask     uint32 = 1<<counterShift - 1
	tickShift           = 26 // a tick is 2^26 ns (67 ms); 28 bits wrap around after 208 days
	birthShift          = 35 // a birth unit is 2^35 ns (34 s); 16 bits wrap around after 26 days
	// A segment has 24 KB, so that a split takes about 10 us and the directory
	// fits in the second-level cache at 10^6 flows.
	segmentSlots = 1024
	segmentLimit = 896              // 7/8 full; right after a split a flow takes 55 bytes
	mergeLimit   = segmentLimit / 2 // so that a merged segment is not split again soon
	maxDepth     = 24               // the directory has at most 2^24 entries
	hashBits     = 64
)

// record is one flow. It has 24 bytes and no pointers, so the garbage collector
// does not scan the segments.
type record struct {
	fingerprint uint64
	server      uint32
	word        uint32 // service, role and flags
	lastSeen    uint32 // tick of the last packet (28 bits), and a 4-bit counter
	// extra holds, for own flows and copies, the start of the flow in birth units
	// (upper half) and the lower 16 bits of the last acknowledgement number (lower
	// half); for hints, the tick at which they expire.
	extra uint32
}

func (r *record) role() role               { return role(r.word & roleMask >> roleShift) }
func (r *record) setRole(x role)           { r.word = r.word&^roleMask | uint32(x)<<roleShift }
func (r *record) service() model.ServiceID { return model.ServiceID(r.word & serviceMask) }

// serverRef identifies the server of the flow.
func (r *record) serverRef() view.ServerRef {
	return view.ServerRef{Service: r.service(), Number: r.server}
}

func (r *record) has(flag uint32) bool { return r.word&flag != 0 }

// counted reports whether a record counts as a connection of its server. A flow
// that the caller has closed does not: its record stays for ClosingTimeout, but
// the server has freed the connection.
func (r *record) counted() bool {
	if r.role() == roleOwned {
		return !r.has(flagClosing)
	}
	return r.has(flagCounted)
}

// counter counts the retransmissions of a SYN and, once the flow is established, the
// relayed packets since the last hint.
func (r *record) counter() uint32 { return r.lastSeen >> counterShift }

// birth returns the start of the flow in birth units.
func (r *record) birth() uint16 { return uint16(r.extra >> 16) }

// touch stores the tick of a packet.
func (r *record) touch(tick uint32) {
	if r.lastSeen&tickMask != tick {
		r.lastSeen = r.lastSeen&^tickMask | tick
	}
}

func (r *record) setCounter(n uint32) {
	r.lastSeen = r.lastSeen&tickMask | min(n, counterMax)<<counterShift
}

// idleTicks returns the ticks since the last packet.
func (r *record) idleTicks(tick uint32) uint32 { return (tick - r.lastSeen) & tickMask }

// hintExpired reports whether packets may no longer be sent directly by a hint.
func (r *record) hintExpired(tick uint32) bool {
	remaining := (r.extra - tick) & tickMask
	return remaining == 0 || remaining > tickMask/2
}

// expireHint turns a hint into a copy. The copy is marked as sent, because the owner,
// which sent the hint, has the record.
func (r *record) expireHint(now model.Time) {
	r.setRole(roleCopy)
	r.word |= flagSent
	r.extra = uint32(birthOf(now)) << 16
}

func tickOf(now model.Time) uint32 { return uint32(uint64(now)>>tickShift) & tickMask }

// ticks converts a duration to ticks, rounded up.
func ticks(d time.Duration) uint32 {
	return uint32(min((d+1<<tickShift-1)>>tickShift, time.Duration(tickMask/2)))
}

func birthOf(now model.Time) uint16 { return uint16(uint64(now) >> birthShift) }

// flowTable is an extendible hash table (Fagin et al., 1979): a directory of
// segments with linear probing. A full segment is split on its own, so growth
// costs a few microseconds at a time instead of one pause for the whole table.
type flowTable struct {
	directory []*segment // indexed by the highest depth bits of the hash
	segments  []*segment
	free      []uint32 // unused indexes in segments
	depth     uint8
	len       int // number of records
}

type segment struct {
	slots [segmentSlots]record
	used  uint16
	depth uint8
	index uint32 // position in flowTable.segments
	// prefix holds the highest depth bits, which all hashes in the segment share.
	prefix uint32
}

func newFlowTable() *flowTable {
	first := &segment{}
	return &flowTable{directory: []*segment{first}, segments: []*segment{first}}
}

// hashFingerprint returns the hash that selects the segment and slot of a
// fingerprint. The upper half of the fingerprint already selected the shard, so
// all bits are mixed.
func hashFingerprint(fingerprint uint64) uint64 {
	hi, lo := bits.Mul64(fingerprint, 0x9e3779b97f4a7c15)
	return hi ^ lo
}

func (t *flowTable) segmentOf(h uint64) *segment {
	return t.directory[h>>(hashBits-t.depth)]
}

// find returns the record of a flow, or nil.
func (t *flowTable) find(fingerprint uint64) *record {
	h := hashFingerprint(fingerprint)
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

// insert returns a new, empty record for a flow that is not in the table, or nil
// if there is no room. The caller must set its role at once. Pointers to other
// records become invalid.
func (t *flowTable) insert(fingerprint uint64) *record {
	h := hashFingerprint(fingerprint)
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
	r := s.freeSlot(h)
	r.fingerprint = fingerprint
	return r
}

// freeSlot returns the first free slot in the probe sequence of a hash.
func (s *segment) freeSlot(h uint64) *record {
	i := h % segmentSlots
	for s.slots[i].word != 0 {
		i = (i + 1) % segmentSlots
	}
	return &s.slots[i]
}

// remove deletes the record of a flow, if there is one. Pointers to other records
// become invalid.
func (t *flowTable) remove(fingerprint uint64) {
	h := hashFingerprint(fingerprint)
	s := t.segmentOf(h)
	for i := h % segmentSlots; s.slots[i].word != 0; i = (i + 1) % segmentSlots {
		if s.slots[i].fingerprint == fingerprint {
			s.removeAt(i)
			t.len--
			return
		}
	}
}

// removeAt frees a slot and moves later records of its cluster back, so that no
// probe sequence has a gap.
func (s *segment) removeAt(hole uint64) {
	s.used--
	for i := (hole + 1) % segmentSlots; s.slots[i].word != 0; i = (i + 1) % segmentSlots {
		home := hashFingerprint(s.slots[i].fingerprint)
		if (i-home)%segmentSlots >= (i-hole)%segmentSlots {
			s.slots[hole] = s.slots[i]
			hole = i
		}
	}
	s.slots[hole] = record{}
}

// split divides a segment into two and doubles the directory if necessary.
func (t *flowTable) split(s *segment) {
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
		h := hashFingerprint(r.fingerprint)
		to := low
		if h>>(hashBits-high.depth)&1 == 1 {
			to = high
		}
		*to.freeSlot(h) = *r
		to.used++
	}
	t.segments[s.index] = low
	t.addSegment(high)
	t.updateDirectory(low)
	t.updateDirectory(high)
}

// addSegment stores a segment under an unused index.
func (t *flowTable) addSegment(s *segment) {
	if n := len(t.free); n > 0 {
		s.index = t.free[n-1]
		t.free = t.free[:n-1]
		t.segments[s.index] = s
		return
	}
	s.index = uint32(len(t.segments))
	t.segments = append(t.segments, s)
}

// updateDirectory points all directory entries with the segment's prefix to it.
func (t *flowTable) updateDirectory(s *segment) {
	freeBits := t.depth - s.depth
	for i := uint32(0); i < 1<<freeBits; i++ {
		t.directory[s.prefix<<freeBits|i] = s
	}
}

// merge joins a sparsely used segment with its sibling, so that memory also
// shrinks with the number of flows. It reports whether it did.
func (t *flowTable) merge(index uint32) bool {
	s := t.segments[index]
	if s == nil || s.depth == 0 || s.used > mergeLimit/2 {
		return false
	}
	sibling := t.directory[(s.prefix^1)<<(t.depth-s.depth)]
	if sibling.depth != s.depth || s.used+sibling.used > mergeLimit {
		return false
	}
	merged := &segment{depth: s.depth - 1, prefix: s.prefix >> 1, index: index}
	for _, from := range []*segment{s, sibling} {
		for i := range from.slots {
			if from.slots[i].word != 0 {
				*merged.freeSlot(hashFingerprint(from.slots[i].fingerprint)) = from.slots[i]
			}
		}
	}
	merged.used = s.used + sibling.used
	t.segments[index], t.segments[sibling.index] = merged, nil
	t.free = append(t.free, sibling.index)
	t.updateDirectory(merged)
	return true
}

// bytes returns the memory of the table in bytes.
func (t *flowTable) bytes() int {
	return (len(t.segments)-len(t.free))*int(unsafe.Sizeof(segment{})) + 8*len(t.directory) + 8*len(t.segments) + 4*len(t.free)
}
