package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a new configuration that is left out because its revision was given out before
// the registry was restored from a copy.
func TestConfigurationAfterARestoreIsInForce(t *testing.T) {
	f := newRunningFleet(t, 7, 3)
	copied := f.store.config(5, 20)
	f.run(4 * time.Second)
	f.store.config(9, 20)
	f.run(3 * time.Second)
	f.store.config(12, 20)
	f.run(3 * time.Second)
	f.restoreStore(copied, 2*time.Second)
	f.store.config(12, 20) // the operators write the lost version again
	f.run(4500 * time.Millisecond)
	f.store.config(15, 20)
	require.LessOrEqual(t, f.timeUntilInForce(15, 3*time.Second), 2500*time.Millisecond)
}
