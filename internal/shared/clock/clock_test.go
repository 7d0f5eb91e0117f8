package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBootAdvances checks that the clock advances at least as much as the time that passes.
func TestBootAdvances(t *testing.T) {
	first := Boot()
	time.Sleep(5 * time.Millisecond)
	second := Boot()
	qt.Assert(t, second-first >= 5*time.Millisecond, qt.IsTrue)
}
