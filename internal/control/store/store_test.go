package store

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
)

// fixedID returns the identity that a new folder gets.
func fixedID() raft.ReplicaID { return 77 }

// mustOpen opens a folder and closes it at the end of the test.
func mustOpen(c *qt.C, folder string) *Store {
	c.Helper()
	s, err := Open(folder, fixedID)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return s
}

// mustFill returns a folder with three synced batches and the log's size after each.
func mustFill(c *qt.C) (folder string, sizes []int64) {
	folder = c.TempDir()
	s := mustOpen(c, folder)
	c.Assert(s.Bootstrap(raft.Members{{ID: 77, Address: "a", Voter: true}}), qt.IsNil)
	sizes = append(sizes, s.LogBytes())
	for i := uint64(2); i <= 4; i++ {
		c.Assert(s.Save(&raft.HardState{Term: i, Vote: 77}, []raft.Entry{entry(i, i), entry(i+1, i)}), qt.IsNil)
		sizes = append(sizes, s.LogBytes())
	}
	c.Assert(s.Close(), qt.IsNil)
	return folder, sizes
}

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: raft.EntryCommand, Data: []byte("data of an entry")}
}

// assertTail holds the last index and the term.
func assertTail(c *qt.C, s *Store, last, term uint64) {
	c.Helper()
	tail := s.Entries()
	got := s.Snapshot().Index
	if len(tail) > 0 {
		got = tail[len(tail)-1].Index
	}
	c.Assert(got, qt.Equals, last)
	c.Assert(s.HardState().Term, qt.Equals, term)
}

func TestReopen(t *testing.T) {
	c := qt.New(t)
	folder, _ := mustFill(c)
	s := mustOpen(c, folder)
	assertTail(c, s, 5, 4)
	c.Assert(s.ID(), qt.Equals, raft.ReplicaID(77))
	c.Assert(s.HardState().Vote, qt.Equals, raft.ReplicaID(77))
}

func TestTornTailIsCutAtTheLastWholeRecord(t *testing.T) {
	c := qt.New(t)
	folder, sizes := mustFill(c)
	whole, err := os.ReadFile(filepath.Join(folder, logFile))
	c.Assert(err, qt.IsNil)
	for cut := sizes[0]; cut < int64(len(whole)); cut++ {
		c.Assert(os.WriteFile(filepath.Join(folder, logFile), whole[:cut], 0o600), qt.IsNil)
		s := mustOpen(c, folder)
		kept := 0
		for kept+1 < len(sizes) && sizes[kept+1] <= cut {
			kept++
		}
		want := uint64(1)
		if kept > 0 {
			want = uint64(kept) + 2
		}
		assertTail(c, s, want, uint64(kept)+1)
		c.Assert(s.Save(nil, []raft.Entry{entry(want+1, 9)}), qt.IsNil)
		c.Assert(s.Close(), qt.IsNil)
		again := mustOpen(c, folder)
		assertTail(c, again, want+1, uint64(kept)+1)
		c.Assert(again.Close(), qt.IsNil)
	}
}

func TestCorruptMiddleRefusesToStart(t *testing.T) {
	c := qt.New(t)
	folder, sizes := mustFill(c)
	name := filepath.Join(folder, logFile)
	data, err := os.ReadFile(name)
	c.Assert(err, qt.IsNil)
	data[sizes[1]+recordHeaderBytes+3] ^= 0xff
	c.Assert(os.WriteFile(name, data, 0o600), qt.IsNil)
	_, err = Open(folder, fixedID)
	var corrupt *ErrCorrupt
	c.Assert(err, qt.ErrorAs, &corrupt)
	c.Assert(corrupt.Offset, qt.Equals, int(sizes[1]))
}

func TestCorruptSnapshotRefusesToStart(t *testing.T) {
	c := qt.New(t)
	folder, _ := mustFill(c)
	name := filepath.Join(folder, snapshotFile)
	data, err := os.ReadFile(name)
	c.Assert(err, qt.IsNil)
	data[len(data)-1] ^= 1
	c.Assert(os.WriteFile(name, data, 0o600), qt.IsNil)
	_, err = Open(folder, fixedID)
	var corrupt *ErrCorrupt
	c.Assert(err, qt.ErrorAs, &corrupt)
}

func TestSnapshotThenCrashBeforeTheLogIsRewritten(t *testing.T) {
	cases := []struct {
		name     string
		snapshot raft.Snapshot
		last     uint64
	}{
		{"entries behind still count", raft.Snapshot{Index: 3, Term: 3}, 5},
		{"entries of another history do not", raft.Snapshot{Index: 3, Term: 9}, 3},
		{"the log does not reach the snapshot", raft.Snapshot{Index: 90, Term: 9}, 90},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			folder, _ := mustFill(c)
			s := mustOpen(c, folder)
			c.Assert(s.writeSnapshot(v.snapshot), qt.IsNil)
			c.Assert(s.Close(), qt.IsNil)
			again := mustOpen(c, folder)
			assertTail(c, again, v.last, 4)
		})
	}
}

// TestEntriesSavedAfterACrashInASnapshotAreKept starts between snapshot and log, where the log did not reach the snapshot, and
// saves entries; they were synced behind the old log's and dropped with it at the next start.
func TestEntriesSavedAfterACrashInASnapshotAreKept(t *testing.T) {
	c := qt.New(t)
	folder, _ := mustFill(c)
	s := mustOpen(c, folder)
	c.Assert(s.writeSnapshot(raft.Snapshot{Index: 90, Term: 9}), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	s = mustOpen(c, folder)
	c.Assert(s.Save(&raft.HardState{Term: 9}, []raft.Entry{entry(91, 9)}), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	assertTail(c, mustOpen(c, folder), 91, 9)
}

func TestOverwrittenEntriesStayOverwritten(t *testing.T) {
	c := qt.New(t)
	folder, _ := mustFill(c)
	s := mustOpen(c, folder)
	c.Assert(s.Save(nil, []raft.Entry{entry(3, 8)}), qt.IsNil)
	c.Assert(s.SaveSnapshot(raft.Snapshot{Index: 2, Term: 2}), qt.IsNil)
	c.Assert(s.Close(), qt.IsNil)
	again := mustOpen(c, folder)
	c.Assert(again.Entries(), qt.DeepEquals, []raft.Entry{entry(3, 8)})
}

func TestJoinedFolderTakesNoOtherGroup(t *testing.T) {
	c := qt.New(t)
	folder, _ := mustFill(c)
	s := mustOpen(c, folder)
	var joined *ErrJoined
	c.Assert(s.Bootstrap(raft.Members{{ID: 77}}), qt.ErrorAs, &joined)
	assertTail(c, s, 5, 4)
}

func TestEmptyFolderIsANewReplica(t *testing.T) {
	c := qt.New(t)
	folder, _ := mustFill(c)
	c.Assert(os.RemoveAll(folder), qt.IsNil)
	s, err := Open(folder, func() raft.ReplicaID { return 78 })
	c.Assert(err, qt.IsNil)
	defer func() { _ = s.Close() }()
	c.Assert(s.ID(), qt.Equals, raft.ReplicaID(78))
	c.Assert(s.Joined(), qt.IsFalse)
}

func TestSecondProcessIsKeptOff(t *testing.T) {
	c := qt.New(t)
	folder, _ := mustFill(c)
	mustOpen(c, folder)
	_, err := Open(folder, fixedID)
	c.Assert(err, qt.ErrorMatches, ".*another process.*")
}

func FuzzLogRecovery(f *testing.F) {
	record, _ := encodeBatch(batch{Hard: &raft.HardState{Term: 3}, Entries: []raft.Entry{entry(2, 3)}})
	f.Add(record)
	f.Add(record[:len(record)-2])
	f.Add(append(append([]byte{}, record...), 0, 0, 0, 0, 0, 0, 0, 0, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		folder := c.TempDir()
		s := mustOpen(c, folder)
		c.Assert(s.Bootstrap(raft.Members{{ID: 77, Voter: true}}), qt.IsNil)
		c.Assert(s.Close(), qt.IsNil)
		c.Assert(os.WriteFile(filepath.Join(folder, logFile), data, 0o600), qt.IsNil)
		s, err := Open(folder, fixedID)
		if err != nil {
			return
		}
		last := s.Snapshot().Index
		for _, e := range s.Entries() {
			last = e.Index
		}
		c.Assert(s.Save(nil, []raft.Entry{entry(last+1, 9)}), qt.IsNil)
		c.Assert(s.Close(), qt.IsNil)
	})
}
