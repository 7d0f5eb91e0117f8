package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// TestColdUpstreamsInTheTable guards against entry hosts that do not learn that an upstream is cold, or that count an earlier time anew,
// and against a table version for every heartbeat. A snapshot must keep the state.
func TestColdUpstreamsInTheTable(t *testing.T) {
	w := newDepartureWorld(t)
	w.propose(state.Command{Patch: &state.Patch{Items: []items.Item{{Kind: items.KindService, Name: "s", Version: 2,
		Service: &items.Service{ColdStart: 3 * time.Second, ColdRate: 4.7}}}}})
	sequence := uint64(0)
	hear := func(warmIn time.Duration) table.Upstream {
		sequence++
		a := heartbeat(1, sequence, false)
		a.WarmIn = warmIn
		w.announce(a)
		w.run(w.now + 400*time.Millisecond)
		u, _ := w.leader().group.state.UpstreamNamed("u")
		return u
	}
	joined := hear(2900 * time.Millisecond)
	w.c.Assert(joined.ColdLeft > 3*time.Second && joined.ColdVersion > 0, qt.IsTrue)
	w.c.Assert(hear(2500*time.Millisecond), qt.Equals, joined)
	warm := hear(0)
	w.c.Assert(warm.ColdLeft, qt.Equals, time.Duration(0))
	w.c.Assert(hear(0), qt.Equals, warm)
	again := hear(2 * time.Second)
	w.c.Assert(again.ColdLeft > 2*time.Second && again.ColdVersion > warm.ColdVersion, qt.IsTrue)
	data, err := w.leader().group.state.Encode()
	w.c.Assert(err, qt.IsNil)
	restored, err := state.Decode(data)
	w.c.Assert(err, qt.IsNil)
	u, _ := restored.UpstreamNamed("u")
	w.c.Assert(u, qt.Equals, again)
}
