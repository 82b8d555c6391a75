package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Guards against a fleet that does not bring a note into force everywhere
// within seconds.
func TestNoteReachesTheFleet(t *testing.T) {
	s := newSim(1)
	s.publish(firstBody(4, "a", "b", "c"))
	s.fleet(3, "a", "b", "c")
	s.run(5 * time.Second)
	for _, v := range s.versions() {
		require.Equal(t, model.Version(1), v)
	}
	s.publish(weightBody("a-s0", "a", 5000, 50))
	s.run(time.Second)
	for i, v := range s.versions() {
		require.Equal(t, model.Version(2), v, fmt.Sprint(s.ids[i]))
	}
	for _, id := range s.ids {
		n := s.nodes[id]
		require.True(t, n.view.Fresh(s.now))
		require.Len(t, n.view.Members.All(), 9)
		require.Empty(t, n.m.status().Conflict)
	}
}
