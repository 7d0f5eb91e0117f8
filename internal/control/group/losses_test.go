package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// tell publishes and lets time pass until the operator was told, as the last thing before a loss.
func (w *world) tell(c *qt.C, id string) {
	c.Helper()
	told := len(w.told)
	w.publish(w.leader(), "20260102T150405.000Z-"+id, w.leader().group.state.Config().Version, []conf.File{worldFile}, func(table.Outcome) {})
	for end := w.now + 4*time.Second; len(w.told) == told && w.now < end; {
		w.run(w.now + time.Millisecond)
	}
	c.Assert(len(w.told), qt.Equals, told+1, qt.Commentf("the publish was not acknowledged"))
}

// TestHostsThatAreNotCountedNeverVote cuts a counted host off for longer than a voter is waited for, with a host standing by that is
// not counted; that one took the vote, and was then lost for good beside two that are counted.
func TestHostsThatAreNotCountedNeverVote(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(seed+1, 5, 1)
			spare := w.hosts[5]
			c.Assert(w.settleVoters(10*time.Second), qt.IsTrue)
			w.run(w.now + time.Second)
			away := w.countedVoter()
			away.crash()
			w.run(w.now + 4*time.Second)
			c.Assert(w.leader(), qt.IsNotNil)
			away.start()
			w.run(w.now + 4*time.Second)
			w.tell(c, "last")
			spare.crash()
			w.countedVoter().crash()
			w.leader().crash()
			w.run(w.now + 5*time.Second)
			w.checkTold()
			assertUnbroken(c, w, seed)
		})
	}
}

// countedVoter returns a voter that is counted, runs and does not lead.
func (w *world) countedVoter() *fakeHost {
	leader, voters := w.leader(), w.voters()
	for _, i := range w.random.Perm(len(w.hosts)) {
		if h := w.hosts[i]; h != leader && !h.down && !h.standsBy && slices.Contains(voters, h.name) {
			return h
		}
	}
	return nil
}
