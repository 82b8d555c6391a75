package httpfront

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Guards against callers that are not told when to try again, or are told 0 s.
func TestRefusalStatesWhenToRetry(t *testing.T) {
	for after, want := range map[time.Duration]string{0: "", 3 * time.Second: "3"} {
		w := httptest.NewRecorder()
		(&answer{w: w}).Refuse(model.OutcomeNotRun, model.ReasonOverloaded, after)
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, want, w.Header().Get("Retry-After"))
	}
}
