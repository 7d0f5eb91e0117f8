package store

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/agree"
)

// TestRecordReadAfterAKillIsNotLostWithThePower kills the process between write and sync, starts it again and loses the power.
func TestRecordReadAfterAKillIsNotLostWithThePower(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(nothingKept{})
	first := &Store{folder: "data", files: d}
	c.Assert(first.load(fixedID), qt.IsNil)
	c.Assert(first.Bootstrap(agree.Members{{ID: 77, Voter: true}}), qt.IsNil)
	d.left = 1
	c.Assert(first.Save(&agree.HardState{Term: 2, Vote: 5}, []agree.Entry{entry(2, 2)}), qt.ErrorIs, errCrashed)
	d.restart()
	second := &Store{folder: "data", files: d}
	c.Assert(second.load(fixedID), qt.IsNil)
	assertTail(c, second, 2, 2)
	d.losePower()
	third := &Store{folder: "data", files: d}
	c.Assert(third.load(fixedID), qt.IsNil)
	assertTail(c, third, 2, 2)
	c.Assert(third.Hard().Vote, qt.Equals, agree.ReplicaID(5))
}

// TestJoinReadAfterAKillIsNotLostWithThePower kills the process before the folder is synced under its new marker, starts it again
// and loses the power; the host then joined afresh under the identity that had answered for entries.
func TestJoinReadAfterAKillIsNotLostWithThePower(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(nothingKept{})
	first := &Store{folder: "data", files: d}
	c.Assert(first.load(fixedID), qt.IsNil)
	d.left = 3 * operationsOfWriting // the log is opened once besides, so that the last sync of the folder is missing
	c.Assert(first.Join(), qt.ErrorIs, errCrashed)
	d.restart()
	second := &Store{folder: "data", files: d}
	c.Assert(second.load(fixedID), qt.IsNil)
	c.Assert(second.Joined(), qt.IsTrue)
	d.losePower()
	third := &Store{folder: "data", files: d}
	c.Assert(third.load(fixedID), qt.IsNil)
	c.Assert(third.Joined(), qt.IsTrue)
}

// operationsOfWriting is how many operations put a file in place: open, write, sync, rename, sync of the folder.
const operationsOfWriting = 5

// nothingKept loses everything that no sync has covered.
type nothingKept struct{}

func (nothingKept) upTo(int) int { return 0 }
