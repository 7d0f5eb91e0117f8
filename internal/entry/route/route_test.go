package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// fullDelta returns a table of many slices and upstreams.
func fullDelta(slices, upstreams int, version uint64) table.Delta {
	d := table.Delta{Full: true, To: version, Config: &table.Config{Version: 1, Files: []conf.File{{Name: "s",
		Text: "[service]\nname = s\nprefix = /s\nkey = path:2\n"}}}, Entries: []table.EntryHost{{Name: "e1", DataCentre: "dc"}}}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, table.Upstream{Number: uint32(i) + 1, Name: fmt.Sprint("u", i), Service: "s", DataCentre: "dc"})
	}
	whole := slice.NewSet(slices).Slices()
	for i := range whole {
		whole[i].Owner, whole[i].Fence = uint32(i%upstreams)+1, 1
	}
	set, _ := slice.FromSlices(whole)
	d.Tables = []table.SliceChanges{{Service: "s", All: whole}}
	d.Digest = table.ServiceDigest("s", set)
	return d
}

func mustTable(c *qt.C) *Table {
	c.Helper()
	t := NewTable("e1", 2)
	c.Assert(t.Apply(fullDelta(8, 2, 10)), qt.IsNil)
	return t
}

func TestOnlyNewerAndWholeTablesAreTaken(t *testing.T) {
	c := qt.New(t)
	k := mustTable(c)
	older := fullDelta(8, 2, 9)
	var notNewer *table.ErrNotNewer
	c.Assert(k.Apply(older), qt.ErrorAs, &notNewer)
	c.Assert(k.Apply(table.Delta{From: 9, To: 11}), qt.ErrorAs, &notNewer)
	spoilt := fullDelta(8, 2, 12)
	spoilt.Digest++
	var digest *table.ErrDigest
	c.Assert(k.Apply(spoilt), qt.ErrorAs, &digest)
	c.Assert(k.View().Version(), qt.Equals, uint64(10))
}

func TestParkedRequestsAreBoundedAndWoken(t *testing.T) {
	c := qt.New(t)
	k := mustTable(c)
	done := make(chan error, 2)
	for range 2 {
		go func() { done <- k.Await(context.Background(), 10) }()
	}
	for k.Parked() < 2 {
		time.Sleep(time.Millisecond)
	}
	var full *ErrTooManyParked
	c.Assert(k.Await(context.Background(), 10), qt.ErrorAs, &full)
	c.Assert(k.Apply(fullDelta(8, 2, 11)), qt.IsNil)
	c.Assert(<-done, qt.IsNil)
	c.Assert(<-done, qt.IsNil)
	c.Assert(k.Parked(), qt.Equals, int64(0))
}

func TestFlightsHoldBackTheOldestVersion(t *testing.T) {
	c := qt.New(t)
	k := mustTable(c)
	c.Assert(k.BeginRequest(10), qt.IsTrue)
	c.Assert(k.Apply(fullDelta(8, 2, 11)), qt.IsNil)
	c.Assert(k.BeginRequest(10), qt.IsFalse)
	c.Assert(k.OldestInFlight(), qt.Equals, uint64(10))
	k.EndRequest(10)
	c.Assert(k.OldestInFlight(), qt.Equals, uint64(11))
}

func TestTenure(t *testing.T) {
	c := qt.New(t)
	k := mustTable(c)
	first := k.HomeSince(k.Find("s", 0))
	later := fullDelta(8, 2, 20)
	later.Tables[0].All[0].Fence = 20
	set, err := slice.FromSlices(later.Tables[0].All)
	c.Assert(err, qt.IsNil)
	later.Digest = table.ServiceDigest("s", set)
	c.Assert(k.Apply(later), qt.IsNil)
	c.Assert(k.HomeSince(k.Find("s", 0)).After(first), qt.IsTrue)
	c.Assert(k.HomeSince(k.Find("s", ^uint64(0))).Equal(first), qt.IsTrue)
}

func BenchmarkFind(b *testing.B) {
	for _, slices := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(slices), func(b *testing.B) {
			k := NewTable("e1", 1)
			if err := k.Apply(fullDelta(slices, 2000, 10)); err != nil {
				b.Fatal(err)
			}
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				view := k.View()
				if !Find(view, view.ServiceFor("/s/key").Name(), random.Uint64()).Owned() {
					b.Fatal("no owner")
				}
			}
		})
	}
}
