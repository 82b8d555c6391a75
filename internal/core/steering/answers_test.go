package steering

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against servers that reject most requests of a route and make their short answers the
// usual ones, so that none of them counts as failed any more.
func TestShortAnswersDoNotChangeTheUsualSize(t *testing.T) {
	var a answerSize
	for i := range minAnswerSizes {
		require.False(t, a.see(uint32(600+20*i)))
	}
	for range 10_000 {
		require.True(t, a.see(120))
	}
	require.False(t, a.see(400), "a successful answer of half the usual size")
	require.True(t, a.see(120))
}
