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

// bench is a state with the index that the next command gets.
type bench struct {
	state *State
	index uint64
}

func newBench() *bench { return &bench{state: New()} }

func (b *bench) mustApply(t rapid.TB, c Command) Result {
	t.Helper()
	b.index++
	data, err := EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	r, err := b.state.Apply(b.index, data)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func file(name string, slices int) conf.File {
	return conf.File{Name: name, Text: fmt.Sprintf("[service]\nname = %s\nprefix = /%s\nkey = path:2\nslices = %d\n", name, name, slices)}
}

func (b *bench) publish(t rapid.TB, id string, base uint64, files ...conf.File) Result {
	t.Helper()
	return b.mustApply(t, Command{Publish: &Publish{ID: id, Base: base, By: "test", Digest: Digest(files), Files: files}})
}

func join(name string, incarnation uint64) Command {
	return Command{JoinUpstream: &table.Upstream{Name: name, Incarnation: incarnation, Service: "s", Address: "127.0.0.1:1", DataCentre: "dc", Slots: 3, ChecksFence: true}}
}

// sampled are the hashes at which owners and fences are watched.
var sampled = func() (hashes []uint64) {
	for i := range uint64(64) {
		hashes = append(hashes, i<<58|i*0x9e3779b97f4a7c15>>6)
	}
	return append(hashes, 0, ^uint64(0))
}()

// naive is the differential partner: a map of owner and fence by hash.
type naive map[uint64]table.Grant

// TestFencesOnlyGrow holds the state against a map by key under random plans, losses and publishes: an owner changes
// only with a larger fence, one fence never has two owners, and a copy by deltas is the state itself.
func TestFencesOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		b.publish(t, "20260102T150405.000Z-0000", 0, file("s", 8))
		seen := map[uint64]naive{}
		view := table.NewView()
		for i := range 60 {
			b.mustApply(t, b.draw(t, uint64(i)))
			b.checkFences(t, seen)
			if rapid.IntRange(0, 3).Draw(t, "sync") == 0 {
				view = b.mustFollow(t, view)
			}
		}
		view = b.mustFollow(t, view)
		data, err := b.state.Encode()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := Decode(data)
		if err != nil || restored.Digest() != b.state.Digest() || view.Digest() != b.state.Digest() {
			t.Fatalf("copies differ: %v", err)
		}
	})
}

// draw returns a random command, often one that does not fit.
func (b *bench) draw(t *rapid.T, n uint64) Command {
	number := func() uint32 { return uint32(rapid.IntRange(0, int(b.state.nextNumber)).Draw(t, "number")) }
	set, _ := b.state.Table("s")
	e := set.At(rapid.IntRange(0, set.Len()-1).Draw(t, "slice"))
	o := Operation{Service: "s", Start: e.Start, Fence: e.Fence, To: number()}
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
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
	case 9:
		files := []conf.File{file("s", 8)}
		if rapid.Bool().Draw(t, "withdraw") {
			files = []conf.File{file("other", 2)}
		}
		return Command{Publish: &Publish{ID: fmt.Sprintf("20260102T150405.000Z-%04d", n+1), Base: b.state.Config().Version, Digest: Digest(files), Files: files}}
	}
	operations := []Operation{o}
	for i := 0; i < set.Len() && rapid.Bool().Draw(t, "more"); i++ {
		e := set.At(i)
		operations = append(operations, Operation{Kind: OperationKind(rapid.IntRange(1, 5).Draw(t, "kind")), Service: "s",
			Start: e.Start, Fence: e.Fence, To: number(), At: e.Start + 1 + rapid.Uint64Range(0, 1<<58).Draw(t, "at")})
	}
	return Command{Plan: &Plan{Operations: operations}}
}

// TestBatchedPlanIsThePlanInOrder holds a plan of many operations against the same operations in plans of one.
func TestBatchedPlanIsThePlanInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, single := newBench(), newBench()
		for _, b := range []*bench{whole, single} {
			b.publish(t, "20260102T150405.000Z-0000", 0, file("s", 8))
			b.mustApply(t, join("a", 1))
			b.mustApply(t, join("b", 1))
		}
		for range 10 {
			set, _ := whole.state.Table("s")
			var operations []Operation
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				e := set.At(rapid.IntRange(0, set.Len()-1).Draw(t, "slice"))
				operations = append(operations, Operation{Kind: OperationKind(rapid.IntRange(1, 5).Draw(t, "kind")), Service: "s",
					Start: e.Start, Fence: e.Fence, To: uint32(rapid.IntRange(1, 2).Draw(t, "to")), At: e.Start + 1 + rapid.Uint64Range(0, 1<<59).Draw(t, "at")})
			}
			index := whole.index + 1
			whole.mustApply(t, Command{Plan: &Plan{Operations: operations}})
			for _, o := range operations {
				single.index = index - 1
				single.mustApply(t, Command{Plan: &Plan{Operations: []Operation{o}}})
			}
			if whole.state.Digest() != single.state.digestAnew() {
				t.Fatalf("%+v\n%+v", whole.state.tables[0].set.Slices(), single.state.tables[0].set.Slices())
			}
		}
	})
}

// digestAnew returns the digest without what was kept for the version.
func (s *State) digestAnew() uint64 {
	s.digestAt = 0
	return s.Digest()
}

func (b *bench) checkFences(t *rapid.T, seen map[uint64]naive) {
	set, _ := b.state.Table("s")
	for _, hash := range sampled {
		e := set.Find(hash)
		if seen[hash] == nil {
			seen[hash] = naive{}
		}
		owner := uint64(e.Owner)
		for fence, was := range seen[hash] {
			if fence > e.Fence {
				t.Fatalf("hash %x: fence went from %d back to %d", hash, fence, e.Fence)
			}
			if fence == e.Fence && was.From != owner {
				t.Fatalf("hash %x: fence %d belongs to %d and %d", hash, fence, was.From, owner)
			}
		}
		seen[hash][e.Fence] = table.Grant{From: owner, Fence: e.Fence}
	}
}

func (b *bench) mustFollow(t *rapid.T, v *table.View) *table.View {
	next, err := v.Apply(b.state.DeltaSince(v.Version(), v.Digest()))
	if err != nil {
		t.Fatal(err)
	}
	if next.Digest() != b.state.Digest() || next.Config().Version != b.state.Config().Version {
		t.Fatal("the copy is not the state")
	}
	return next
}

// TestDeltasOfHosts holds copies that follow by deltas, from any version they hold, against a whole copy: upstreams,
// entry hosts and homes.
func TestDeltasOfHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		b.publish(t, "20260102T150405.000Z-0000", 0, file("s", 4))
		followers := make([]*table.View, 3)
		for i := range followers {
			followers[i] = table.NewView()
		}
		for range 40 {
			b.mustApply(t, drawHostCommand(t, b))
			i := rapid.IntRange(0, 2*len(followers)-1).Draw(t, "follower")
			if i >= len(followers) {
				continue
			}
			followers[i] = b.mustFollow(t, followers[i])
			whole := b.mustFollow(t, table.NewView())
			assertSameHosts(t, followers[i], whole)
		}
	})
}

func assertSameHosts(t *rapid.T, got, want *table.View) {
	if !maps.Equal(got.Upstreams(), want.Upstreams()) || !slices.Equal(got.Entries(), want.Entries()) {
		t.Fatalf("%v %v, want %v %v", got.Upstreams(), got.Entries(), want.Upstreams(), want.Entries())
	}
	for number := range want.Upstreams() {
		home, _ := want.Home(number)
		if other, _ := got.Home(number); other != home {
			t.Fatalf("home of %d: %v, want %v", number, other, home)
		}
	}
}

// drawHostCommand returns a change of an upstream or an entry host.
func drawHostCommand(t *rapid.T, b *bench) Command {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name")
	u, _ := b.state.UpstreamNamed(name)
	switch rapid.IntRange(0, 6).Draw(t, "command") {
	case 0, 1:
		return join(name, b.index)
	case 2:
		return Command{DropUpstreams: &DropUpstreams{Numbers: []uint32{u.Number}}}
	case 3:
		return Command{Drain: &Drain{Name: name, On: rapid.Bool().Draw(t, "on"), Self: rapid.Bool().Draw(t, "self")}}
	case 4:
		return Command{ExcludeHome: &ExcludeHome{Number: u.Number, Entry: name}}
	case 5:
		return Command{JoinEntry: &table.EntryHost{Name: name, Incarnation: b.index, DataCentre: rapid.SampledFrom([]string{"dc", "far"}).Draw(t, "centre")}}
	}
	e, _ := b.state.Entry(name)
	return Command{DropEntry: &DropEntry{Name: name, Incarnation: e.Incarnation}}
}

func TestPublishOutcomes(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	first := b.publish(t, "20260102T150405.000Z-aaaa", 0, file("s", 4))
	c.Assert(first.Outcome.Accepted, qt.IsTrue)
	c.Run("race from the same base", func(c *qt.C) {
		second := b.publish(t, "20260102T150405.001Z-bbbb", 0, file("s", 4), file("x", 1))
		c.Assert(second.Outcome.Accepted, qt.IsFalse)
		c.Assert(second.Outcome.Version, qt.Equals, first.Outcome.Version)
		c.Assert(second.Outcome.Reason, qt.Contains, "by test")
	})
	c.Run("resend after later versions and a snapshot", func(c *qt.C) {
		b.publish(t, "20260102T150405.002Z-cccc", first.Outcome.Version, file("s", 4), file("y", 1))
		data, err := b.state.Encode()
		c.Assert(err, qt.IsNil)
		restored, err := Decode(data)
		c.Assert(err, qt.IsNil)
		b.state = restored
		again := b.publish(t, "20260102T150405.000Z-aaaa", 0, file("s", 4))
		c.Assert(again.Outcome, qt.DeepEquals, first.Outcome)
	})
	c.Run("same id with other content", func(c *qt.C) {
		before := b.state.Config()
		other := b.publish(t, "20260102T150405.000Z-aaaa", before.Version, file("z", 4))
		c.Assert(other.Outcome, qt.IsNil)
		c.Assert(other.Rejection, qt.Contains, "other content")
		c.Assert(b.state.Config(), qt.DeepEquals, before)
	})
	c.Run("id so old that its outcome is gone", func(c *qt.C) {
		for i := range maxOutcomes + 5 {
			b.publish(t, fmt.Sprintf("20260103T150405.000Z-%05d", i), 0, file("s", 4))
		}
		version := b.state.Config().Version
		gone := b.publish(t, "20260102T150405.000Z-aaaa", version, file("s", 4))
		c.Assert(gone.Outcome, qt.IsNil)
		c.Assert(gone.Rejection, qt.Contains, "no longer kept")
		c.Assert(b.state.Config().Version, qt.Equals, version)
	})
}

func TestIncarnations(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	b.publish(t, "20260102T150405.000Z-aaaa", 0, file("s", 1))
	old := b.mustApply(t, join("u", 5)).Number
	b.mustApply(t, Command{Plan: &Plan{Operations: []Operation{{Kind: Assign, Service: "s", Fence: 1, To: old}}}})
	c.Run("a restart does not inherit slices", func(c *qt.C) {
		next := b.mustApply(t, join("u", 6)).Number
		c.Assert(next, qt.Not(qt.Equals), old)
		set, _ := b.state.Table("s")
		c.Assert(set.At(0).Owner, qt.Equals, old)
	})
	c.Run("an old announcement does not come back", func(c *qt.C) {
		b.mustApply(t, Command{DropUpstreams: &DropUpstreams{Numbers: []uint32{old}}})
		c.Assert(b.mustApply(t, join("u", 5)).Rejection, qt.Not(qt.Equals), "")
	})
}

func TestStaleOperationsArePassedOver(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	b.publish(t, "20260102T150405.000Z-aaaa", 0, file("s", 1))
	one, two := b.mustApply(t, join("a", 1)).Number, b.mustApply(t, join("b", 1)).Number
	assign := func(to uint32, fence uint64) Command {
		return Command{Plan: &Plan{Operations: []Operation{{Kind: Assign, Service: "s", Fence: fence, To: to}}}}
	}
	b.mustApply(t, assign(one, 1))
	b.mustApply(t, assign(two, 1))
	set, _ := b.state.Table("s")
	c.Assert(set.At(0).Owner, qt.Equals, one)
	finish := Command{Plan: &Plan{Operations: []Operation{{Kind: FinishMove, Service: "s", Fence: set.At(0).Fence, To: two}}}}
	b.mustApply(t, finish)
	set, _ = b.state.Table("s")
	c.Assert(set.At(0).Owner, qt.Equals, one)
}

func TestWithdrawnServiceKeepsItsOwners(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	b.publish(t, "20260102T150405.000Z-aaaa", 0, file("s", 1))
	u := b.mustApply(t, join("a", 1)).Number
	b.mustApply(t, Command{Plan: &Plan{Operations: []Operation{{Kind: Assign, Service: "s", Fence: 1, To: u}}}})
	b.publish(t, "20260102T150405.001Z-aaaa", 1, file("t", 1))
	b.publish(t, "20260102T150405.002Z-aaaa", b.state.Config().Version, file("s", 1))
	set, _ := b.state.Table("s")
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

// TestItemsBehind holds that the state names the items that a host lacks, those removed among them, and says when it no longer knows.
func TestItemsBehind(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	s := b.state
	patch := func(list ...items.Item) { b.mustApply(t, Command{Patch: &Patch{Items: list}}) }
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
