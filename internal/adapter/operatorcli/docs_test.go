package operatorcli

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Guards against a reason code that operators see but cannot look up in the
// operators' page.
func TestOperatorsPageExplainsEveryReason(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for _, reason := range model.Reasons() {
		require.Contains(t, string(page), "\n| `"+reason.String()+"` |")
	}
}
