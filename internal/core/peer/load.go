package peer

import (
	"cmp"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/room"
)

// Estimated encoded sizes of the parts of a load report, in bytes. The overhead is the rest of the
// message, with the names of some services and zones.
const (
	loadOverhead    = 250
	classLoadSize   = 17
	serverLoadSize  = 10
	loadPartEntries = maxMessageBytes - loadOverhead
)

// SplitLoad divides a load report into parts that each fit into one message.
func SplitLoad(r *room.Report) []*room.Report {
	classes := make([]room.Class, 0, len(r.Classes))
	for class := range r.Classes {
		classes = append(classes, class)
	}
	slices.SortFunc(classes, func(a, b room.Class) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Priority, b.Priority))
	})
	var parts []*room.Report
	left := 0
	partFor := func(size int) *room.Report {
		if left < size || parts == nil {
			part := *r
			part.Classes, part.Servers = map[room.Class]room.Counters{}, map[uint32]room.ServerLoad{}
			parts, left = append(parts, &part), loadPartEntries
		}
		left -= size
		return parts[len(parts)-1]
	}
	for _, class := range classes {
		partFor(classLoadSize).Classes[class] = r.Classes[class]
	}
	for token, load := range r.Servers {
		partFor(serverLoadSize).Servers[token] = load
	}
	if parts == nil {
		partFor(0) // still one message, for the number of instances
	}
	return parts
}
