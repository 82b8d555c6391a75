package logging

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a part whose messages lose their prefix once values are added.
func TestMessagesHaveThePrefixOfTheirPart(t *testing.T) {
	var out bytes.Buffer
	logs, err := New(&out, "info")
	require.NoError(t, err)
	log := logs.Part("flow").WithValues("shard", 3)
	log.Info("shard is full")
	require.Contains(t, out.String(), `"msg":"flow: shard is full"`)
	require.Contains(t, out.String(), `"shard":3`)
	out.Reset()
	log.V(1).Info("below the level")
	require.Empty(t, out.String())
	log.Error(errors.New("closed"), "cannot send")
	require.Contains(t, out.String(), `"msg":"flow: cannot send"`)
}

// Guards against a misspelled level that is accepted and disables the log.
func TestUnknownLevelIsAnError(t *testing.T) {
	_, err := New(&bytes.Buffer{}, "loud")
	require.Error(t, err)
}
