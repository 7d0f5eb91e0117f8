package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWindowOfOneHost holds that a host with half of the base keeps within its part, and has more again once the window is over.
func TestWindowOfOneHost(t *testing.T) {
	c := qt.New(t)
	w := NewWindow(Limits{Share: 0.2, Base: 10, Window: 10 * time.Second}, 0.7)
	spent := 0
	for i := range 100 {
		now := time.Duration(i) * 50 * time.Millisecond
		w.Request(now)
		if w.Spend(now, 0.5) {
			spent++
		}
	}
	c.Assert(float64(spent) <= 0.2*100+10.0/2, qt.IsTrue)
	c.Assert(spent > 10, qt.IsTrue)
	c.Assert(w.Spend(60*time.Second, 0.5), qt.IsTrue)
}
