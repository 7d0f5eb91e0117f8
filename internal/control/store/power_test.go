package store

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
)

// rapidChooser draws its choices from a rapid test, so that failures are shrunk.
type rapidChooser struct {
	t *rapid.T
}

func (c rapidChooser) upTo(n int) int { return rapid.IntRange(0, n).Draw(c.t, "chance") }

// content is what a data folder holds, as far as a Store returns it.
type content struct {
	id        raft.ReplicaID
	joined    bool
	hardState raft.HardState
	snapshot  uint64
	terms     []uint64
}

// contentOf returns the content of an open store.
func contentOf(s *Store) (c content) {
	c = content{id: s.ID(), joined: s.Joined()}
	if !c.joined {
		return c
	}
	c.hardState, c.snapshot = s.HardState(), s.Snapshot().Index
	for _, e := range s.Entries() {
		c.terms = append(c.terms, e.Term)
	}
	return c
}

func (c content) equal(o content) bool {
	return c.id == o.id && c.joined == o.joined && c.hardState == o.hardState && c.snapshot == o.snapshot && slices.Equal(c.terms, o.terms)
}

// last returns the index of the last log entry.
func (c content) last() uint64 { return c.snapshot + uint64(len(c.terms)) }

// afterSave returns the content after Save.
func (c content) afterSave(hard *raft.HardState, entries []raft.Entry) content {
	c.terms = slices.Clone(c.terms)
	for _, e := range entries {
		c.terms = append(c.terms[:e.Index-c.snapshot-1], e.Term)
	}
	if hard != nil {
		c.hardState = *hard
	}
	return c
}

// afterSnapshot returns the content after SaveSnapshot with the index. The index may lie after the last entry, as that of a
// snapshot received from a leader does.
func (c content) afterSnapshot(index uint64) content {
	if index > c.last() {
		c.terms = nil
	} else {
		c.terms = slices.Clone(c.terms[index-c.snapshot:])
	}
	c.snapshot = index
	return c
}

// crashHarness is a data folder on a modelDisk with the content that the next start may find: the acknowledged content or, if an
// operation failed, the content that it would have left.
type crashHarness struct {
	t            *rapid.T
	disk         *modelDisk
	store        *Store
	ids          raft.ReplicaID
	term         uint64
	opened       bool
	acknowledged content
	inFlight     content
	members      raft.Members
}

// open starts a process that opens the folder and fails the test if acknowledged content was lost. The content that it reads
// counts as acknowledged from then on.
func (h *crashHarness) open() {
	h.disk.restart()
	h.scheduleCrash()
	h.store = &Store{folder: "data", files: h.disk}
	err := h.store.load(func() raft.ReplicaID { h.ids++; return h.ids })
	if h.disk.crashed {
		return
	}
	if err != nil {
		h.t.Fatalf("data folder does not open: %v", err)
	}
	got := contentOf(h.store)
	if h.opened && !got.equal(h.acknowledged) && !got.equal(h.inFlight) {
		h.t.Fatalf("read %+v\nwant acknowledged %+v\nor in flight %+v", got, h.acknowledged, h.inFlight)
	}
	h.acknowledge(got)
}

func (h *crashHarness) acknowledge(c content) { h.opened, h.acknowledged, h.inFlight = true, c, c }

// scheduleCrash draws the number of operations after which the process crashes.
func (h *crashHarness) scheduleCrash() {
	h.disk.opsBeforeCrash = rapid.IntRange(0, 25).Draw(h.t, "operations until the crash")
}

// attempt performs an operation that leaves the next content. The content is acknowledged only if the operation returns no error.
func (h *crashHarness) attempt(next content, do func() error) {
	h.inFlight = next
	if err := do(); err == nil {
		h.acknowledge(next)
	} else if !h.disk.crashed {
		h.disk.crashed = true // after an error the replica sends nothing until the folder has been reopened
	}
}

// step performs a random operation of a replica on its data folder.
func (h *crashHarness) step() {
	c := h.acknowledged
	if !c.joined {
		h.join(c)
		return
	}
	if rapid.IntRange(0, 4).Draw(h.t, "snapshot") == 0 {
		index := c.snapshot + 1 + uint64(rapid.IntRange(0, len(c.terms)+2).Draw(h.t, "index"))
		term := h.term
		if index <= c.last() {
			term = c.terms[index-c.snapshot-1]
		}
		h.attempt(c.afterSnapshot(index), func() error { return h.store.SaveSnapshot(raft.Snapshot{Index: index, Term: term}) })
		return
	}
	h.term++
	first := c.snapshot + 1 + uint64(rapid.IntRange(0, len(c.terms)).Draw(h.t, "first"))
	var entries []raft.Entry
	for i := range uint64(rapid.IntRange(0, 3).Draw(h.t, "entries")) {
		entries = append(entries, entry(first+i, h.term))
	}
	hard := &raft.HardState{Term: h.term, Vote: c.id}
	h.attempt(c.afterSave(hard, entries), func() error { return h.store.Save(hard, entries) })
}

func (h *crashHarness) join(c content) {
	c.joined = true
	if rapid.Bool().Draw(h.t, "bootstrap") {
		c.snapshot, c.hardState = 1, raft.HardState{Term: 1}
		h.attempt(c, func() error { return h.store.Bootstrap(h.members) })
		return
	}
	h.attempt(c, h.store.Join)
}

// TestWhatWasReadOrSavedOutlivesKillsAndPowerLoss repeatedly crashes the process at a random operation, sometimes with a power
// loss. It guards against the loss of a record that the replica has already acted on: one that a start had read only from the
// page cache was lost with the power.
func TestWhatWasReadOrSavedOutlivesKillsAndPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &crashHarness{t: t, members: raft.Members{{ID: 1, Voter: true}}}
		h.disk = newModelDisk(rapidChooser{t})
		for range rapid.IntRange(1, 12).Draw(t, "starts") {
			h.open()
			for !h.disk.crashed {
				h.disk.failWrites = rapid.IntRange(0, 9).Draw(t, "refuses") == 0
				h.step()
			}
			if rapid.Bool().Draw(t, "power") {
				h.disk.losePower()
			}
		}
	})
}

// TestRecordReadAfterAKillIsNotLostWithThePower kills the process between write and sync of a record, restarts it and then loses
// the power. The record was read at the restart, so it must be durable.
func TestRecordReadAfterAKillIsNotLostWithThePower(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(loseUnsynced{})
	first := &Store{folder: "data", files: d}
	c.Assert(first.load(fixedID), qt.IsNil)
	c.Assert(first.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.IsNil)
	d.opsBeforeCrash = 1
	c.Assert(first.Save(&raft.HardState{Term: 2, Vote: 5}, []raft.Entry{entry(2, 2)}), qt.ErrorIs, errCrashed)
	d.restart()
	second := &Store{folder: "data", files: d}
	c.Assert(second.load(fixedID), qt.IsNil)
	assertLastEntry(c, second, 2, 2)
	d.losePower()
	third := &Store{folder: "data", files: d}
	c.Assert(third.load(fixedID), qt.IsNil)
	assertLastEntry(c, third, 2, 2)
	c.Assert(third.HardState().Vote, qt.Equals, raft.ReplicaID(5))
}

// TestJoinReadAfterAKillIsNotLostWithThePower kills the process after the identity file that marks the folder as joined was
// renamed and before the folder is synced, restarts it and then loses the power. Without a sync at the restart, the host joined
// again as an empty replica, under an ID that had already acknowledged entries.
func TestJoinReadAfterAKillIsNotLostWithThePower(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(loseUnsynced{})
	first := &Store{folder: "data", files: d}
	c.Assert(first.load(fixedID), qt.IsNil)
	d.opsBeforeCrash = 3 * writeFileOps // three files are written and the log is opened once, so that the last sync of the folder is missing
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

// TestLogIsNotRewrittenBeforeSnapshotRenameIsDurable crashes the process after the rename of the snapshot and again after the
// rename of the rewritten log. Then the power is lost, and with it the rename of the snapshot unless it was synced. Without that
// sync, the entry that the snapshot replaced was in neither file.
func TestLogIsNotRewrittenBeforeSnapshotRenameIsDurable(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(loseUnsynced{})
	s := &Store{folder: "data", files: d}
	c.Assert(s.load(fixedID), qt.IsNil)
	c.Assert(s.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.IsNil)
	c.Assert(s.Save(&raft.HardState{Term: 2}, []raft.Entry{entry(2, 2)}), qt.IsNil)
	d.opsBeforeCrash = writeFileOps - 1
	c.Assert(s.SaveSnapshot(raft.Snapshot{Index: 2, Term: 2}), qt.ErrorIs, errCrashed)
	before := d.names["data/log"]
	for ops := 0; d.names["data/log"] == before; ops++ {
		d.restart()
		d.opsBeforeCrash = ops
		c.Assert((&Store{folder: "data", files: d}).load(fixedID), qt.ErrorIs, errCrashed)
	}
	d.losePowerKeeping(true, func(n nameChange) bool { return n.to == "data/log" })
	d.restart()
	reopened := &Store{folder: "data", files: d}
	c.Assert(reopened.load(fixedID), qt.IsNil)
	assertLastEntry(c, reopened, 2, 2)
}

// TestFailedIdentityWriteLeavesTheFolderUnjoined fails the last write of a bootstrap, that of the identity file. It guards
// against a folder that counts as joined in memory but not on disk.
func TestFailedIdentityWriteLeavesTheFolderUnjoined(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(loseUnsynced{})
	s := &Store{folder: "data", files: d}
	c.Assert(s.load(fixedID), qt.IsNil)
	d.failOpenPath = "data/" + identityFile + ".tmp"
	c.Assert(s.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.ErrorIs, errDiskFault)
	c.Assert(s.Joined(), qt.IsFalse)
	d.failOpenPath = ""
	c.Assert(s.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.IsNil)
	c.Assert(s.Joined(), qt.IsTrue)
}

// TestRewriteMakesDurableWhatAFailedSyncLeft reads a record whose sync had failed. Later syncs of the same file succeed
// without writing it, so only a rewrite makes it durable.
func TestRewriteMakesDurableWhatAFailedSyncLeft(t *testing.T) {
	c := qt.New(t)
	d := newModelDisk(loseUnsynced{})
	s := &Store{folder: "data", files: d}
	c.Assert(s.load(fixedID), qt.IsNil)
	c.Assert(s.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.IsNil)
	d.failSyncs = true
	c.Assert(s.Save(nil, []raft.Entry{entry(2, 1)}), qt.ErrorIs, errDiskFault)
	d.restart()
	s = &Store{folder: "data", files: d}
	c.Assert(s.load(fixedID), qt.IsNil)
	assertLastEntry(c, s, 2, 1)
	c.Assert(s.RewriteLog(), qt.IsNil)
	d.losePower()
	s = &Store{folder: "data", files: d}
	c.Assert(s.load(fixedID), qt.IsNil)
	assertLastEntry(c, s, 2, 1)
}

// writeFileOps is the number of disk operations of writeFileSynced: open, write, sync, rename, sync of the folder.
const writeFileOps = 5

// loseUnsynced is a chooser with which a power loss drops all changes since the last syncs.
type loseUnsynced struct{}

func (loseUnsynced) upTo(int) int { return 0 }
