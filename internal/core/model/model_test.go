package model

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a reason code without a name of its own: two reasons with one
// name would share a metrics counter.
func TestEveryReasonHasItsOwnName(t *testing.T) {
	seen := map[string]Reason{}
	for _, r := range Reasons() {
		name := r.String()
		require.NotEmpty(t, name, "reason %d", r)
		other, dup := seen[name]
		require.False(t, dup, "reasons %d and %d are both %q", r, other, name)
		seen[name] = r
	}
}
