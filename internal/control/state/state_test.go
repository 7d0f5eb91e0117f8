package state

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// harness applies commands to a state at consecutive log indexes.
type harness struct {
	state *State
	index uint64
}

func newHarness() *harness { return &harness{state: New()} }

func (h *harness) mustApply(t rapid.TB, c Command) Result {
	t.Helper()
	h.index++
	data, err := EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	r, err := h.state.Apply(h.index, data)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func file(name string, slices int) conf.File {
	return conf.File{Name: name, Text: fmt.Sprintf("[service]\nname = %s\nprefix = /%s\nkey = path:2\nslices = %d\n", name, name, slices)}
}

func (h *harness) publish(t rapid.TB, id string, base uint64, files ...conf.File) Result {
	t.Helper()
	return h.mustApply(t, Command{Publish: &Publish{ID: id, Base: base, By: "test", Digest: Digest(files), Files: files}})
}

func join(name string, incarnation uint64) Command {
	return Command{JoinUpstream: &table.Upstream{Name: name, Incarnation: incarnation, Service: "s", Address: "127.0.0.1:1", DataCentre: "dc", Slots: 3, ChecksFence: true}}
}

// sampledHashes are the hashes at which owners and fencing tokens are checked.
var sampledHashes = func() (hashes []uint64) {
	for i := range uint64(64) {
		hashes = append(hashes, i<<58|i*0x9e3779b97f4a7c15>>6)
	}
	return append(hashes, 0, ^uint64(0))
}()

// ownersByFence holds the owner that each fencing token of one hash has been seen with, in the grant's From field.
type ownersByFence map[uint64]table.Grant

// TestFencesOnlyGrow applies random plans, joins, removals and publishes. It guards against a change of owner without a larger
// fencing token, a token with two owners, a report from before a grant that counts for the slice's move, and a copy by deltas or
// snapshot that differs from the state.
func TestFencesOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		h.publish(t, "20260102T150405.000Z-0000", 0, file("s", 8))
		owners := map[uint64]ownersByFence{}
		view := table.NewView()
		for i := range 60 {
			h.mustApply(t, h.drawCommand(t, uint64(i)))
			h.checkFences(t, owners)
			h.checkMoveReports(t)
			if rapid.IntRange(0, 3).Draw(t, "sync") == 0 {
				view = h.mustSync(t, view)
			}
		}
		view = h.mustSync(t, view)
		data, err := h.state.Encode()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := Decode(data)
		if err != nil || restored.Digest() != h.state.Digest() || view.Digest() != h.state.Digest() {
			t.Fatalf("digest of the restored state or of the view differs: %v", err)
		}
		set, _ := h.state.Table("s")
		for _, e := range set.Slices() {
			if got, want := restored.MoveReport("s", e.Start), h.state.MoveReport("s", e.Start); got != want {
				t.Fatalf("report of slice %x is %d after a snapshot, not %d", e.Start, got, want)
			}
		}
	})
}

// drawCommand returns a random command. Many of them do not apply to the state and must be skipped or rejected.
func (h *harness) drawCommand(t *rapid.T, n uint64) Command {
	number := func() uint32 { return uint32(rapid.IntRange(0, int(h.state.nextNumber)).Draw(t, "number")) }
	set, _ := h.state.Table("s")
	e := set.At(rapid.IntRange(0, set.Len()-1).Draw(t, "slice"))
	o := Operation{Service: "s", Start: e.Start, Fence: e.Fence, To: number(), Sequence: h.index + 1}
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0, 1:
		return join(fmt.Sprintf("u%d", rapid.IntRange(0, 3).Draw(t, "name")), n+1)
	case 2:
		return Command{DropUpstreams: &DropUpstreams{Numbers: []uint32{number(), number()}}}
	case 3, 4:
		o.Kind = Assign
	case 5:
		o.Kind = BeginMove
	case 6:
		o.Kind, o.To = FinishMove, e.Next
	case 7:
		o.Kind, o.At = Split, rapid.Uint64().Draw(t, "at")
	case 8:
		o.Kind = Merge
	case 10:
		o.Kind = Refence
	case 9:
		files := []conf.File{file("s", 8)}
		if rapid.Bool().Draw(t, "withdraw") {
			files = []conf.File{file("other", 2)}
		}
		return Command{Publish: &Publish{ID: fmt.Sprintf("20260102T150405.000Z-%04d", n+1), Base: h.state.Config().Version, Digest: Digest(files), Files: files}}
	}
	operations := []Operation{o}
	for i := 0; i < set.Len() && rapid.Bool().Draw(t, "more"); i++ {
		e := set.At(i)
		operations = append(operations, Operation{Kind: OperationKind(rapid.IntRange(1, 6).Draw(t, "kind")), Service: "s",
			Start: e.Start, Fence: e.Fence, To: number(), Sequence: h.index + 1, At: e.Start + 1 + rapid.Uint64Range(0, 1<<58).Draw(t, "at")})
	}
	return Command{Plan: &Plan{Operations: operations}}
}

// TestBatchedPlanMatchesSingleOperations checks that a plan of many operations has the same result as plans of one operation each
// at the same log index.
func TestBatchedPlanMatchesSingleOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batched, single := newHarness(), newHarness()
		for _, h := range []*harness{batched, single} {
			h.publish(t, "20260102T150405.000Z-0000", 0, file("s", 8))
			h.mustApply(t, join("a", 1))
			h.mustApply(t, join("b", 1))
		}
		for range 10 {
			set, _ := batched.state.Table("s")
			var operations []Operation
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				e := set.At(rapid.IntRange(0, set.Len()-1).Draw(t, "slice"))
				operations = append(operations, Operation{Kind: OperationKind(rapid.IntRange(1, 6).Draw(t, "kind")), Service: "s",
					Start: e.Start, Fence: e.Fence, To: uint32(rapid.IntRange(1, 2).Draw(t, "to")), At: e.Start + 1 + rapid.Uint64Range(0, 1<<59).Draw(t, "at")})
			}
			index := batched.index + 1
			batched.mustApply(t, Command{Plan: &Plan{Operations: operations}})
			for _, o := range operations {
				single.index = index - 1
				single.mustApply(t, Command{Plan: &Plan{Operations: []Operation{o}}})
			}
			if batched.state.Digest() != single.state.recomputedDigest() {
				t.Fatalf("batched: %+v\nsingle: %+v", batched.state.tables[0].set.Slices(), single.state.tables[0].set.Slices())
			}
		}
	})
}

// recomputedDigest returns the digest computed anew, not the one cached for the version.
func (s *State) recomputedDigest() uint64 {
	s.digestAt = 0
	return s.Digest()
}

func (h *harness) checkFences(t *rapid.T, owners map[uint64]ownersByFence) {
	set, _ := h.state.Table("s")
	for _, hash := range sampledHashes {
		e := set.Find(hash)
		if owners[hash] == nil {
			owners[hash] = ownersByFence{}
		}
		owner := uint64(e.Owner)
		for fence, grant := range owners[hash] {
			if fence > e.Fence {
				t.Fatalf("hash %x: fencing token decreased from %d to %d", hash, fence, e.Fence)
			}
			if fence == e.Fence && grant.From != owner {
				t.Fatalf("hash %x: fencing token %d has owners %d and %d", hash, fence, grant.From, owner)
			}
		}
		owners[hash][e.Fence] = table.Grant{From: owner, Fence: e.Fence}
	}
}

// checkMoveReports checks that only slices that are being moved have a report, and that it was recorded after the fencing token was set.
// The sequence number of a report is the log index at which it is recorded.
func (h *harness) checkMoveReports(t *rapid.T) {
	set, _ := h.state.Table("s")
	for _, e := range set.Slices() {
		r := h.state.MoveReport("s", e.Start)
		if r != 0 && (!e.Moving() || r <= e.Fence) {
			t.Fatalf("slice %x (token %d, next owner %d) has a report recorded at %d", e.Start, e.Fence, e.Next, r)
		}
	}
}

// mustSync brings the view to the state's version by a delta and returns it.
func (h *harness) mustSync(t *rapid.T, v *table.View) *table.View {
	next, err := v.Apply(h.state.DeltaSince(v.Version(), v.Digest()))
	if err != nil {
		t.Fatal(err)
	}
	if next.Digest() != h.state.Digest() || next.Config().Version != h.state.Config().Version {
		t.Fatal("digest or config version of the view differs from the state")
	}
	return next
}

// TestHostDeltasMatchFullCopy checks that views which are updated by deltas from various versions have the same upstreams, entry
// hosts and homes as a full copy.
func TestHostDeltasMatchFullCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		h.publish(t, "20260102T150405.000Z-0000", 0, file("s", 4))
		views := make([]*table.View, 3)
		for i := range views {
			views[i] = table.NewView()
		}
		for range 40 {
			h.mustApply(t, drawHostCommand(t, h))
			i := rapid.IntRange(0, 2*len(views)-1).Draw(t, "follower")
			if i >= len(views) {
				continue
			}
			views[i] = h.mustSync(t, views[i])
			full := h.mustSync(t, table.NewView())
			assertSameHosts(t, views[i], full)
		}
	})
}

func assertSameHosts(t *rapid.T, got, want *table.View) {
	if !maps.Equal(got.Upstreams(), want.Upstreams()) || !slices.Equal(got.Entries(), want.Entries()) {
		t.Fatalf("%v %v, want %v %v", got.Upstreams(), got.Entries(), want.Upstreams(), want.Entries())
	}
	for _, service := range []string{"s", "t"} {
		if !slices.Equal(got.UpstreamsOf(service), want.UpstreamsOf(service)) {
			t.Fatalf("upstreams of %s: %v, want %v", service, got.UpstreamsOf(service), want.UpstreamsOf(service))
		}
	}
	for number := range want.Upstreams() {
		home, _ := want.Home(number)
		if other, _ := got.Home(number); other != home {
			t.Fatalf("home of %d: %v, want %v", number, other, home)
		}
	}
}

// drawHostCommand returns a random change of an upstream or an entry host.
func drawHostCommand(t *rapid.T, h *harness) Command {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name")
	u, _ := h.state.UpstreamNamed(name)
	switch rapid.IntRange(0, 6).Draw(t, "command") {
	case 0, 1:
		c := join(name, h.index)
		c.JoinUpstream.Service = rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
		return c
	case 2:
		return Command{DropUpstreams: &DropUpstreams{Numbers: []uint32{u.Number}}}
	case 3:
		return Command{Drain: &Drain{Name: name, On: rapid.Bool().Draw(t, "on"), Self: rapid.Bool().Draw(t, "self")}}
	case 4:
		return Command{ExcludeHome: &ExcludeHome{Number: u.Number, Entry: name}}
	case 5:
		return Command{JoinEntry: &table.EntryHost{Name: name, Incarnation: h.index, DataCentre: rapid.SampledFrom([]string{"dc", "far"}).Draw(t, "centre")}}
	}
	e, _ := h.state.Entry(name)
	return Command{DropEntry: &DropEntry{Name: name, Incarnation: e.Incarnation}}
}

func TestPublishOutcomes(t *testing.T) {
	c := qt.New(t)
	h := newHarness()
	first := h.publish(t, "20260102T150405.000Z-aaaa", 0, file("s", 4))
	c.Assert(first.Outcome.Accepted, qt.IsTrue)
	c.Run("race from the same base", func(c *qt.C) {
		second := h.publish(t, "20260102T150405.001Z-bbbb", 0, file("s", 4), file("x", 1))
		c.Assert(second.Outcome.Accepted, qt.IsFalse)
		c.Assert(second.Outcome.Version, qt.Equals, first.Outcome.Version)
		c.Assert(second.Outcome.Reason, qt.Contains, "by test")
	})
	c.Run("retry after later versions and a snapshot", func(c *qt.C) {
		h.publish(t, "20260102T150405.002Z-cccc", first.Outcome.Version, file("s", 4), file("y", 1))
		data, err := h.state.Encode()
		c.Assert(err, qt.IsNil)
		restored, err := Decode(data)
		c.Assert(err, qt.IsNil)
		h.state = restored
		again := h.publish(t, "20260102T150405.000Z-aaaa", 0, file("s", 4))
		c.Assert(again.Outcome, qt.DeepEquals, first.Outcome)
	})
	c.Run("same id with other content", func(c *qt.C) {
		before := h.state.Config()
		other := h.publish(t, "20260102T150405.000Z-aaaa", before.Version, file("z", 4))
		c.Assert(other.Outcome, qt.IsNil)
		c.Assert(other.Rejection, qt.Contains, "other content")
		c.Assert(h.state.Config(), qt.DeepEquals, before)
	})
	c.Run("id so old that its outcome was dropped", func(c *qt.C) {
		for i := range maxOutcomes + 5 {
			h.publish(t, fmt.Sprintf("20260103T150405.000Z-%05d", i), 0, file("s", 4))
		}
		version := h.state.Config().Version
		late := h.publish(t, "20260102T150405.000Z-aaaa", version, file("s", 4))
		c.Assert(late.Outcome, qt.IsNil)
		c.Assert(late.Rejection, qt.Contains, "no longer kept")
		c.Assert(h.state.Config().Version, qt.Equals, version)
	})
}

func TestIncarnations(t *testing.T) {
	c := qt.New(t)
	h := newHarness()
	h.publish(t, "20260102T150405.000Z-aaaa", 0, file("s", 1))
	old := h.mustApply(t, join("u", 5)).Number
	h.mustApply(t, Command{Plan: &Plan{Operations: []Operation{{Kind: Assign, Service: "s", Fence: 1, To: old}}}})
	c.Run("a restart does not inherit slices", func(c *qt.C) {
		next := h.mustApply(t, join("u", 6)).Number
		c.Assert(next, qt.Not(qt.Equals), old)
		set, _ := h.state.Table("s")
		c.Assert(set.At(0).Owner, qt.Equals, old)
	})
	c.Run("an old incarnation cannot join again", func(c *qt.C) {
		h.mustApply(t, Command{DropUpstreams: &DropUpstreams{Numbers: []uint32{old}}})
		c.Assert(h.mustApply(t, join("u", 5)).Rejection, qt.Not(qt.Equals), "")
	})
}

// TestLeavingConcernsOneIncarnation checks that the notice of an incarnation that leaves does not drain the next one, which joined before
// the notice was committed.
func TestLeavingConcernsOneIncarnation(t *testing.T) {
	c := qt.New(t)
	h := newHarness()
	h.mustApply(t, join("u", 5))
	h.mustApply(t, join("u", 6))
	h.mustApply(t, Command{Drain: &Drain{Name: "u", On: true, Self: true, Incarnation: 5}})
	for _, u := range h.state.Upstreams() {
		c.Check(u.Leaving, qt.Equals, u.Incarnation == 5)
	}
}

// TestDepartureOutlastsTheProcess guards against late announcements that make a process join after it has left: the record of a process
// that never joined must be kept in snapshots, must not keep newer ones out, and must not grow with the number of names.
func TestDepartureOutlastsTheProcess(t *testing.T) {
	leave := func(name string, incarnation uint64) Command {
		return Command{Drain: &Drain{Name: name, On: true, Self: true, Incarnation: incarnation}}
	}
	joins := func(t *testing.T, h *harness, incarnation uint64) bool {
		return h.mustApply(t, join("u", incarnation)).Rejection == ""
	}
	for _, restored := range []bool{false, true} {
		t.Run(fmt.Sprint("never joined, restored from a snapshot: ", restored), func(t *testing.T) {
			h := newHarness()
			h.mustApply(t, leave("u", 5))
			if restored {
				data, err := h.state.Encode()
				qt.Assert(t, err, qt.IsNil)
				h.state, err = Decode(data)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Check(t, h.state.HasLeft(table.Process{Name: "u", Incarnation: 5}), qt.IsTrue)
			qt.Check(t, h.state.HasLeft(table.Process{Name: "u", Incarnation: 6}), qt.IsFalse)
			qt.Check(t, joins(t, h, 4), qt.IsFalse)
			qt.Check(t, joins(t, h, 5), qt.IsFalse)
			qt.Check(t, joins(t, h, 6), qt.IsTrue)
		})
	}
	t.Run("an older process is listed", func(t *testing.T) {
		h := newHarness()
		h.mustApply(t, join("u", 3))
		h.mustApply(t, leave("u", 5))
		u, _ := h.state.UpstreamNamed("u")
		qt.Check(t, u.Leaving, qt.IsTrue)
		qt.Check(t, joins(t, h, 5), qt.IsFalse)
	})
	t.Run("a newer process is listed", func(t *testing.T) {
		h := newHarness()
		h.mustApply(t, join("u", 7))
		h.mustApply(t, leave("u", 5))
		u, _ := h.state.UpstreamNamed("u")
		qt.Check(t, u.Leaving, qt.IsFalse)
		qt.Check(t, h.state.HasLeft(u.Process()), qt.IsFalse)
	})
	t.Run("among many other names", func(t *testing.T) {
		h := newHarness()
		number := h.mustApply(t, join("u", 5)).Number
		for i := range maxIncarnations {
			h.mustApply(t, leave(fmt.Sprint("other-", i), 1))
		}
		qt.Check(t, len(h.state.incarnations), qt.Equals, maxIncarnations)
		qt.Check(t, len(h.state.newestByName), qt.Equals, maxIncarnations)
		h.mustApply(t, leave("u", 5))
		h.mustApply(t, leave("last", 1))
		h.mustApply(t, Command{DropUpstreams: &DropUpstreams{Numbers: []uint32{number}}})
		qt.Check(t, joins(t, h, 5), qt.IsFalse)
		qt.Check(t, len(h.state.incarnations), qt.Equals, maxIncarnations)
	})
}

func TestStaleOperationsAreSkipped(t *testing.T) {
	c := qt.New(t)
	h := newHarness()
	h.publish(t, "20260102T150405.000Z-aaaa", 0, file("s", 1))
	one, two := h.mustApply(t, join("a", 1)).Number, h.mustApply(t, join("b", 1)).Number
	assign := func(to uint32, fence uint64) Command {
		return Command{Plan: &Plan{Operations: []Operation{{Kind: Assign, Service: "s", Fence: fence, To: to}}}}
	}
	h.mustApply(t, assign(one, 1))
	h.mustApply(t, assign(two, 1))
	set, _ := h.state.Table("s")
	c.Assert(set.At(0).Owner, qt.Equals, one)
	finish := Command{Plan: &Plan{Operations: []Operation{{Kind: FinishMove, Service: "s", Fence: set.At(0).Fence, To: two}}}}
	h.mustApply(t, finish)
	set, _ = h.state.Table("s")
	c.Assert(set.At(0).Owner, qt.Equals, one)
}

func TestWithdrawnServiceKeepsItsOwners(t *testing.T) {
	c := qt.New(t)
	h := newHarness()
	h.publish(t, "20260102T150405.000Z-aaaa", 0, file("s", 1))
	u := h.mustApply(t, join("a", 1)).Number
	h.mustApply(t, Command{Plan: &Plan{Operations: []Operation{{Kind: Assign, Service: "s", Fence: 1, To: u}}}})
	h.publish(t, "20260102T150405.001Z-aaaa", 1, file("t", 1))
	h.publish(t, "20260102T150405.002Z-aaaa", h.state.Config().Version, file("s", 1))
	set, _ := h.state.Table("s")
	c.Assert(set.At(0).Owner, qt.Equals, u)
}

func FuzzDecodeCommand(f *testing.F) {
	data, _ := EncodeCommand(join("u", 1))
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		_, _ = s.Apply(1, data)
	})
}

// TestItemsChangedSince checks that the items changed since a version are returned, removed ones included, and that known is
// false if the journal does not reach back to the version.
func TestItemsChangedSince(t *testing.T) {
	c := qt.New(t)
	h := newHarness()
	s := h.state
	patch := func(list ...items.Item) { h.mustApply(t, Command{Patch: &Patch{Items: list}}) }
	service := func(name string, version uint64, removed bool) items.Item {
		return items.Item{Kind: items.KindService, Name: name, Version: version, Removed: removed, Service: &items.Service{}}
	}
	patch(service("a", 1, false), service("b", 1, false))
	at := s.Version()
	keys, known := s.ItemsChangedSince(at)
	c.Check(known, qt.IsTrue)
	c.Check(keys, qt.HasLen, 0)
	patch(service("a", 2, false))
	patch(service("b", 3, true), service("a", 4, false))
	keys, known = s.ItemsChangedSince(at)
	c.Check(known, qt.IsTrue)
	c.Check(keys, qt.DeepEquals, []items.Key{{Kind: items.KindService, Name: "a"}, {Kind: items.KindService, Name: "b"}})
	s.journalFloor = at + 1
	_, known = s.ItemsChangedSince(at)
	c.Check(known, qt.IsFalse)
}
