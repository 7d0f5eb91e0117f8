package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBootGoesOn holds that the clock moves as time passes and never back.
func TestBootGoesOn(t *testing.T) {
	first := Boot()
	time.Sleep(5 * time.Millisecond)
	second := Boot()
	qt.Assert(t, second-first >= 5*time.Millisecond, qt.IsTrue)
}
