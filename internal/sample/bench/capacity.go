package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/control/store"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/sketch"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Capacity measures the slopes that docs/CAPACITY.md is worked out from.
func Capacity(out io.Writer) (err error) {
	fmt.Fprintln(out, "| what | measured | line | largest residual |\n|---|---|---|---|")
	lookups(out)
	tables(out)
	sketches(out)
	if err = logs(out); err != nil {
		return err
	}
	if err = snapshots(out); err != nil {
		return err
	}
	plans(out)
	if err = losses(out); err != nil {
		return err
	}
	if err = renewals(out); err != nil {
		return err
	}
	return watches(out)
}

func delta(count, upstreams int, version uint64) table.Delta {
	d := table.Delta{Full: true, To: version, Config: &table.Config{}}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, table.Upstream{Number: uint32(i) + 1, Name: fmt.Sprint("upstream-", i), Service: "s", Address: "10.0.0.1:8080", DataCentre: "dc"})
	}
	whole := slice.NewSet(count).Slices()
	for i := range whole {
		whole[i].Owner, whole[i].Fence = uint32(i%upstreams)+1, uint64(i)
	}
	set, _ := slice.FromSlices(whole)
	d.Tables = []table.SliceChanges{{Service: "s", All: whole}}
	d.Digest = table.ServiceDigest("s", set)
	return d
}

func lookups(out io.Writer) {
	const rounds = 2000000
	var points []point
	for _, count := range []int{32000, 64000, 128000} {
		t := route.NewTable("e", 1)
		_ = t.Apply(delta(count, 2000, 1))
		random := rand.New(rand.NewPCG(1, 1))
		started := time.Now()
		for range rounds {
			_ = t.Find("s", random.Uint64())
		}
		points = append(points, point{float64(count), float64(time.Since(started).Nanoseconds()) / rounds})
	}
	row(out, "route lookup", "slices", "ns", points)
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func tables(out io.Writer) {
	var memory, applied, whole, small []point
	for _, count := range []int{32000, 64000, 128000} {
		before := heapBytes()
		d := delta(count, 2000, 1)
		t := route.NewTable("e", 1)
		_ = t.Apply(d)
		d = table.Delta{}
		memory = append(memory, point{float64(count), heapBytes() - before})
		whole = append(whole, point{float64(count), encodedBytes(delta(count, 2000, 1))})
		changes := []slice.Change{{Slice: slice.Slice{Start: 0, Owner: 1, Fence: 1 << 30}}}
		set, _ := t.View().Set("s")
		next, _ := set.Apply(changes)
		step := table.Delta{From: 1, To: 2, Tables: []table.SliceChanges{{Service: "s", Changes: changes}}, Digest: table.ServiceDigest("s", next)}
		applied = append(applied, point{float64(count), applyTime(t, step)})
		runtime.KeepAlive(t)
	}
	for _, changes := range []int{64, 256, 1024} {
		d := table.Delta{From: 1, To: 2}
		for i := range changes {
			d.Tables = append(d.Tables, table.SliceChanges{Service: "service-name", Changes: []slice.Change{{Slice: slice.Slice{Start: rand.Uint64(), Owner: uint32(i), Fence: 1 << 20, Next: 7}}}})
		}
		encoded, _ := wire.Marshal(d)
		small = append(small, point{float64(changes), float64(len(encoded))})
	}
	row(out, "table in memory", "slices", "bytes", memory)
	row(out, "whole table on the wire", "slices", "bytes", whole)
	row(out, "delta on the wire", "changed slices", "bytes", small)
	row(out, "applying one delta", "slices", "µs", applied)
}

func encodedBytes(v any) float64 {
	encoded, _ := wire.Marshal(v)
	return float64(len(encoded))
}

// applyTime returns the mean time in microseconds to apply one change, made again and again.
func applyTime(t *route.Table, step table.Delta) float64 {
	const rounds = 50
	started := time.Now()
	for i := range uint64(rounds) {
		step.From, step.To = 1+i, 2+i
		_ = t.Apply(step)
	}
	return float64(time.Since(started).Microseconds()) / rounds
}

func sketches(out io.Writer) {
	var points, memory []point
	for _, held := range []int{4096, 16384, 65536} {
		before := heapBytes()
		s := sketch.New[uint64](held)
		random := rand.New(rand.NewPCG(1, 1))
		zipf := rand.NewZipf(random, 1.1, 1, 530000000)
		const adds = 1000000
		started := time.Now()
		for range adds {
			s.Add(zipf.Uint64())
		}
		points = append(points, point{float64(held), float64(time.Since(started).Nanoseconds()) / adds})
		memory = append(memory, point{float64(held), heapBytes() - before})
		runtime.KeepAlive(s)
	}
	row(out, "sketch, one add over 530 M keys", "items held", "ns", points)
	row(out, "sketch in memory", "items held", "bytes", memory)
}

func logs(out io.Writer) (err error) {
	folder, err := os.MkdirTemp("", "ebonyrill-capacity")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s, err := store.Open(folder, func() raft.ReplicaID { return 1 })
	if err != nil {
		return err
	}
	if err = s.Bootstrap(raft.Members{{ID: 1, Voter: true}}); err != nil {
		return err
	}
	const rounds = 200
	var times, sizes []point
	index := uint64(2)
	for _, bytes := range []int{200, 2000, 20000} {
		before, started := s.LogBytes(), time.Now()
		for range rounds {
			e := raft.Entry{Index: index, Term: 1, Kind: raft.EntryCommand, Data: make([]byte, bytes)}
			if err = s.Save(nil, []raft.Entry{e}); err != nil {
				return err
			}
			index++
		}
		times = append(times, point{float64(bytes), float64(time.Since(started).Microseconds()) / rounds})
		sizes = append(sizes, point{float64(bytes), float64(s.LogBytes()-before) / rounds})
	}
	row(out, "log append with sync", "bytes of a change", "µs", times)
	row(out, "log on disk, one change", "bytes of a change", "bytes", sizes)
	return s.Close()
}

func snapshots(out io.Writer) (err error) {
	var times, sizes []point
	for _, count := range []int{32000, 64000, 100000} {
		s := state.New()
		file := conf.File{Name: "s", Text: fmt.Sprintf("[service]\nname = s\nprefix = /s\nkey = path:2\nslices = %d\n", count)}
		data, err := state.EncodeCommand(state.Command{Publish: &state.Publish{ID: "1", Files: []conf.File{file}}})
		if err != nil {
			return err
		}
		if _, err = s.Apply(1, data); err != nil {
			return err
		}
		started := time.Now()
		encoded, err := s.Encode()
		if err != nil {
			return err
		}
		times = append(times, point{float64(count), float64(time.Since(started).Microseconds())})
		sizes = append(sizes, point{float64(count), float64(len(encoded))})
	}
	row(out, "snapshot, time to encode", "slices", "µs", times)
	row(out, "snapshot", "slices", "bytes", sizes)
	return nil
}

func plans(out io.Writer) {
	var points, lost []point
	for _, size := range [][2]int{{500, 32000}, {1000, 64000}, {2000, 128000}} {
		took, _, _ := PlanStep(size[0], size[1], 0)
		points = append(points, point{float64(size[1]), float64(took.Microseconds())})
		took, _, _ = PlanStep(size[0], size[1], size[0]/7)
		lost = append(lost, point{float64(size[1]), float64(took.Microseconds())})
	}
	row(out, "planning step", "slices", "µs", points)
	row(out, "planning step, one upstream in seven lost", "slices", "µs", lost)
}

// losses measures how long the state takes to drop one upstream in seven and to give their slices away.
func losses(out io.Writer) (err error) {
	var points, bytes []point
	for _, count := range []int{25000, 50000, 100000} {
		took, size, err := lossOf(count)
		if err != nil {
			return err
		}
		points = append(points, point{float64(count), float64(took) / float64(time.Millisecond)})
		bytes = append(bytes, point{float64(count), size})
	}
	row(out, "applying the loss of one upstream in seven", "slices", "ms", points)
	row(out, "its delta to an entry host", "slices", "bytes", bytes)
	return nil
}

// lossOf makes a service of 64 slices an upstream, loses one in seven and deals their slices to the others.
func lossOf(count int) (took time.Duration, size float64, err error) {
	s, index := state.New(), uint64(0)
	apply := func(c state.Command) {
		data, encodeErr := state.EncodeCommand(c)
		index++
		if _, applyErr := s.Apply(index, data); applyErr != nil || encodeErr != nil {
			err = errors.New("a command of the trial was not applied")
		}
	}
	file := conf.File{Name: "s", Text: fmt.Sprintf("[service]\nname = s\nprefix = /s\nkey = path:2\nslices = %d\n", count)}
	apply(state.Command{Publish: &state.Publish{ID: "1", Files: []conf.File{file}}})
	upstreams := count / 64
	for i := range upstreams {
		apply(state.Command{JoinUpstream: &table.Upstream{Name: fmt.Sprint("u", i), Incarnation: 1, Service: "s"}})
	}
	deal := func(first, among int) {
		set, _ := s.Table("s")
		plan := &state.Plan{}
		for i, e := range set.Slices() {
			if e.Owner == 0 {
				plan.Operations = append(plan.Operations, state.Operation{Kind: state.Assign, Service: "s", Start: e.Start, Fence: e.Fence, To: uint32(first + i%among)})
			}
		}
		apply(state.Command{Plan: plan})
	}
	deal(1, upstreams)
	before, started := s.Version(), time.Now()
	drop := &state.DropUpstreams{}
	for n := 1; n <= upstreams/7; n++ {
		drop.Numbers = append(drop.Numbers, uint32(n))
	}
	apply(state.Command{DropUpstreams: drop})
	deal(upstreams/7+1, upstreams-upstreams/7)
	took = time.Since(started)
	return took, encodedBytes(s.DeltaSince(before, 0)), err
}
