package store

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
)

// drawn chooses by a rapid test, so that failures shrink.
type drawn struct {
	t *rapid.T
}

func (d drawn) upTo(n int) int { return rapid.IntRange(0, n).Draw(d.t, "chance") }

// content is what a folder is to hold.
type content struct {
	id       raft.ReplicaID
	joined   bool
	hard     raft.HardState
	snapshot uint64
	terms    []uint64
}

// contentOf returns what a store has read or written.
func contentOf(s *Store) (c content) {
	c = content{id: s.ID(), joined: s.Joined()}
	if !c.joined {
		return c
	}
	c.hard, c.snapshot = s.HardState(), s.Snapshot().Index
	for _, e := range s.Entries() {
		c.terms = append(c.terms, e.Term)
	}
	return c
}

func (c content) equal(o content) bool {
	return c.id == o.id && c.joined == o.joined && c.hard == o.hard && c.snapshot == o.snapshot && slices.Equal(c.terms, o.terms)
}

func (c content) last() uint64 { return c.snapshot + uint64(len(c.terms)) }

// with returns the content after a save.
func (c content) with(hard *raft.HardState, entries []raft.Entry) content {
	c.terms = slices.Clone(c.terms)
	for _, e := range entries {
		c.terms = append(c.terms[:e.Index-c.snapshot-1], e.Term)
	}
	if hard != nil {
		c.hard = *hard
	}
	return c
}

// after returns the content after a snapshot of an index in it, or of a leader's that lies beyond it.
func (c content) after(index uint64) content {
	if index > c.last() {
		c.terms = nil
	} else {
		c.terms = slices.Clone(c.terms[index-c.snapshot:])
	}
	c.snapshot = index
	return c
}

// folder is a data folder on a model disk, with what any later start must find in it.
type folder struct {
	t       *rapid.T
	disk    *modelDisk
	store   *Store
	ids     raft.ReplicaID
	term    uint64
	known   bool
	sure    content
	maybe   content
	members raft.Members
}

// open starts a process on the folder and holds that nothing is gone that was promised; what it reads is promised from now on.
func (f *folder) open() {
	f.disk.restart()
	f.mayEnd()
	f.store = &Store{folder: "data", files: f.disk}
	err := f.store.load(func() raft.ReplicaID { f.ids++; return f.ids })
	if f.disk.crashed {
		return
	}
	if err != nil {
		f.t.Fatalf("the folder does not open: %v", err)
	}
	got := contentOf(f.store)
	if f.known && !got.equal(f.sure) && !got.equal(f.maybe) {
		f.t.Fatalf("read %+v\npromised %+v\nor %+v", got, f.sure, f.maybe)
	}
	f.promise(got)
}

func (f *folder) promise(c content) { f.known, f.sure, f.maybe = true, c, c }

// mayEnd lets the process end at one of the next operations, or not for long.
func (f *folder) mayEnd() {
	f.disk.left = rapid.IntRange(0, 25).Draw(f.t, "operations until the process ends")
}

// change does one thing of which the outcome is known only if it returns without an error.
func (f *folder) change(next content, do func() error) {
	f.maybe = next
	if err := do(); err == nil {
		f.promise(next)
	} else if !f.disk.crashed {
		f.disk.crashed = true // the replica is silent until the folder was opened anew
	}
}

// step does one thing that a replica does with its folder.
func (f *folder) step() {
	c := f.sure
	if !c.joined {
		f.join(c)
		return
	}
	if rapid.IntRange(0, 4).Draw(f.t, "snapshot") == 0 {
		index := c.snapshot + 1 + uint64(rapid.IntRange(0, len(c.terms)+2).Draw(f.t, "index"))
		term := f.term
		if index <= c.last() {
			term = c.terms[index-c.snapshot-1]
		}
		f.change(c.after(index), func() error { return f.store.SaveSnapshot(raft.Snapshot{Index: index, Term: term}) })
		return
	}
	f.term++
	first := c.snapshot + 1 + uint64(rapid.IntRange(0, len(c.terms)).Draw(f.t, "first"))
	var entries []raft.Entry
	for i := range uint64(rapid.IntRange(0, 3).Draw(f.t, "entries")) {
		entries = append(entries, entry(first+i, f.term))
	}
	hard := &raft.HardState{Term: f.term, Vote: c.id}
	f.change(c.with(hard, entries), func() error { return f.store.Save(hard, entries) })
}

func (f *folder) join(c content) {
	c.joined = true
	if rapid.Bool().Draw(f.t, "bootstrap") {
		c.snapshot, c.hard = 1, raft.HardState{Term: 1}
		f.change(c, func() error { return f.store.Bootstrap(f.members) })
		return
	}
	f.change(c, f.store.Join)
}

// TestWhatWasReadOrSavedOutlivesKillsAndPowerLoss ends the process at any operation and loses power or not, over and over; a
// record that a start had read from the page cache was answered for and then gone.
func TestWhatWasReadOrSavedOutlivesKillsAndPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &folder{t: t, members: raft.Members{{ID: 1, Voter: true}}}
		f.disk = newModelDisk(drawn{t})
		for range rapid.IntRange(1, 12).Draw(t, "starts") {
			f.open()
			for !f.disk.crashed {
				f.disk.refuses = rapid.IntRange(0, 9).Draw(t, "refuses") == 0
				f.step()
			}
			if rapid.Bool().Draw(t, "power") {
				f.disk.losePower()
			}
		}
	})
}

// TestRecordReadAfterAKillIsNotLostWithThePower kills the process between write and sync, starts it again and loses the power.
func TestRecordReadAfterAKillIsNotLostWithThePower(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(nothingKept{})
	first := &Store{folder: "data", files: d}
	c.Assert(first.load(fixedID), qt.IsNil)
	c.Assert(first.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.IsNil)
	d.left = 1
	c.Assert(first.Save(&raft.HardState{Term: 2, Vote: 5}, []raft.Entry{entry(2, 2)}), qt.ErrorIs, errCrashed)
	d.restart()
	second := &Store{folder: "data", files: d}
	c.Assert(second.load(fixedID), qt.IsNil)
	assertTail(c, second, 2, 2)
	d.losePower()
	third := &Store{folder: "data", files: d}
	c.Assert(third.load(fixedID), qt.IsNil)
	assertTail(c, third, 2, 2)
	c.Assert(third.HardState().Vote, qt.Equals, raft.ReplicaID(5))
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

// TestLogIsNotRewrittenBeforeTheNameOfItsSnapshotIsDurable ends the process twice, once the snapshot and once the log has its
// name, and loses the name of the snapshot with the power; the entry that both replaced was then in neither.
func TestLogIsNotRewrittenBeforeTheNameOfItsSnapshotIsDurable(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(nothingKept{})
	s := &Store{folder: "data", files: d}
	c.Assert(s.load(fixedID), qt.IsNil)
	c.Assert(s.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.IsNil)
	c.Assert(s.Save(&raft.HardState{Term: 2}, []raft.Entry{entry(2, 2)}), qt.IsNil)
	d.left = operationsOfWriting - 1
	c.Assert(s.SaveSnapshot(raft.Snapshot{Index: 2, Term: 2}), qt.ErrorIs, errCrashed)
	before := d.names["data/log"]
	for left := 0; d.names["data/log"] == before; left++ {
		d.restart()
		d.left = left
		c.Assert((&Store{folder: "data", files: d}).load(fixedID), qt.ErrorIs, errCrashed)
	}
	d.losePowerBut(true, func(n naming) bool { return n.to == "data/log" })
	d.restart()
	last := &Store{folder: "data", files: d}
	c.Assert(last.load(fixedID), qt.IsNil)
	assertTail(c, last, 2, 2)
}

// TestRefusedMarkerLeavesTheFolderOutside refuses the last file of a bootstrap; the folder counted as joined with nothing on disk.
func TestRefusedMarkerLeavesTheFolderOutside(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(nothingKept{})
	s := &Store{folder: "data", files: d}
	c.Assert(s.load(fixedID), qt.IsNil)
	d.refused = "data/" + identityFile + ".tmp"
	c.Assert(s.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.ErrorIs, errRefused)
	c.Assert(s.Joined(), qt.IsFalse)
	d.refused = ""
	c.Assert(s.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.IsNil)
	c.Assert(s.Joined(), qt.IsTrue)
}

// TestRewriteMakesDurableWhatARefusedSyncDropped reads a record whose sync was refused; a later sync succeeds and writes nothing.
func TestRewriteMakesDurableWhatARefusedSyncDropped(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(nothingKept{})
	s := &Store{folder: "data", files: d}
	c.Assert(s.load(fixedID), qt.IsNil)
	c.Assert(s.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.IsNil)
	d.refusesSync = true
	c.Assert(s.Save(nil, []raft.Entry{entry(2, 1)}), qt.ErrorIs, errRefused)
	d.restart()
	s = &Store{folder: "data", files: d}
	c.Assert(s.load(fixedID), qt.IsNil)
	assertTail(c, s, 2, 1)
	c.Assert(s.RewriteLog(), qt.IsNil)
	d.losePower()
	s = &Store{folder: "data", files: d}
	c.Assert(s.load(fixedID), qt.IsNil)
	assertTail(c, s, 2, 1)
}

// operationsOfWriting is how many operations put a file in place: open, write, sync, rename, sync of the folder.
const operationsOfWriting = 5

// nothingKept loses everything that no sync has covered.
type nothingKept struct{}

func (nothingKept) upTo(int) int { return 0 }
