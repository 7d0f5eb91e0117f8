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

// Capacity measures how costs grow with size, and writes a table of the fitted lines. docs/CAPACITY.md is derived from it.
func Capacity(out io.Writer) (err error) {
	fmt.Fprintln(out, "| what | measured | line | largest residual |\n|---|---|---|---|")
	measureLookups(out)
	measureTables(out)
	measureSketches(out)
	if err = measureLog(out); err != nil {
		return err
	}
	if err = measureSnapshots(out); err != nil {
		return err
	}
	measurePlans(out)
	if err = measureLosses(out); err != nil {
		return err
	}
	if err = measureRenewals(out); err != nil {
		return err
	}
	return measureWatches(out)
}

// fullDelta returns a delta that holds the complete table of a service, with its slices spread over the upstreams.
func fullDelta(count, upstreams int, version uint64) table.Delta {
	d := table.Delta{Full: true, To: version, Config: &table.Config{}}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, table.Upstream{Number: uint32(i) + 1, Name: fmt.Sprint("upstream-", i), Service: "s", Address: "10.0.0.1:8080", DataCentre: "dc"})
	}
	slices := slice.NewSet(count).Slices()
	for i := range slices {
		slices[i].Owner, slices[i].Fence = uint32(i%upstreams)+1, uint64(i)
	}
	set, _ := slice.FromSlices(slices)
	d.Tables = []table.SliceChanges{{Service: "s", All: slices}}
	d.Digest = table.ServiceDigest("s", set)
	return d
}

func measureLookups(out io.Writer) {
	const rounds = 2000000
	var points []point
	for _, count := range []int{32000, 64000, 128000} {
		t := route.NewTable("e", 1)
		_ = t.Apply(fullDelta(count, 2000, 1))
		random := rand.New(rand.NewPCG(1, 1))
		started := time.Now()
		for range rounds {
			_ = t.Find("s", random.Uint64())
		}
		points = append(points, point{float64(count), float64(time.Since(started).Nanoseconds()) / rounds})
	}
	writeRow(out, "route lookup", "slices", "ns", points)
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func measureTables(out io.Writer) {
	var memory, applied, full, partial []point
	for _, count := range []int{32000, 64000, 128000} {
		before := heapBytes()
		d := fullDelta(count, 2000, 1)
		t := route.NewTable("e", 1)
		_ = t.Apply(d)
		d = table.Delta{}
		memory = append(memory, point{float64(count), heapBytes() - before})
		full = append(full, point{float64(count), encodedBytes(fullDelta(count, 2000, 1))})
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
		partial = append(partial, point{float64(changes), float64(len(encoded))})
	}
	writeRow(out, "table in memory", "slices", "bytes", memory)
	writeRow(out, "whole table on the wire", "slices", "bytes", full)
	writeRow(out, "delta on the wire", "changed slices", "bytes", partial)
	writeRow(out, "applying one delta", "slices", "µs", applied)
}

func encodedBytes(v any) float64 {
	encoded, _ := wire.Marshal(v)
	return float64(len(encoded))
}

// applyTime applies the changes of step repeatedly, each time as a new version, and returns the mean time in microseconds.
func applyTime(t *route.Table, step table.Delta) float64 {
	const rounds = 50
	started := time.Now()
	for i := range uint64(rounds) {
		step.From, step.To = 1+i, 2+i
		_ = t.Apply(step)
	}
	return float64(time.Since(started).Microseconds()) / rounds
}

func measureSketches(out io.Writer) {
	var points, memory []point
	for _, items := range []int{4096, 16384, 65536} {
		before := heapBytes()
		s := sketch.New[uint64](items)
		random := rand.New(rand.NewPCG(1, 1))
		zipf := rand.NewZipf(random, 1.1, 1, 530000000)
		const adds = 1000000
		started := time.Now()
		for range adds {
			s.Add(zipf.Uint64())
		}
		points = append(points, point{float64(items), float64(time.Since(started).Nanoseconds()) / adds})
		memory = append(memory, point{float64(items), heapBytes() - before})
		runtime.KeepAlive(s)
	}
	writeRow(out, "sketch, one add over 530 M keys", "items held", "ns", points)
	writeRow(out, "sketch in memory", "items held", "bytes", memory)
}

func measureLog(out io.Writer) (err error) {
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
	writeRow(out, "log append with sync", "bytes of a change", "µs", times)
	writeRow(out, "log on disk, one change", "bytes of a change", "bytes", sizes)
	return s.Close()
}

func measureSnapshots(out io.Writer) (err error) {
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
	writeRow(out, "snapshot, time to encode", "slices", "µs", times)
	writeRow(out, "snapshot", "slices", "bytes", sizes)
	return nil
}

func measurePlans(out io.Writer) {
	var points, lost []point
	for _, size := range [][2]int{{500, 32000}, {1000, 64000}, {2000, 128000}} {
		took, _, _ := PlanStep(size[0], size[1], 0)
		points = append(points, point{float64(size[1]), float64(took.Microseconds())})
		took, _, _ = PlanStep(size[0], size[1], size[0]/7)
		lost = append(lost, point{float64(size[1]), float64(took.Microseconds())})
	}
	writeRow(out, "planning step", "slices", "µs", points)
	writeRow(out, "planning step, one upstream in seven lost", "slices", "µs", lost)
}

// measureLosses measures how long the control state takes to remove one upstream in seven and to reassign their slices,
// and the size of the resulting delta.
func measureLosses(out io.Writer) (err error) {
	var points, bytes []point
	for _, count := range []int{25000, 50000, 100000} {
		took, size, err := applyLoss(count)
		if err != nil {
			return err
		}
		points = append(points, point{float64(count), float64(took) / float64(time.Millisecond)})
		bytes = append(bytes, point{float64(count), size})
	}
	writeRow(out, "applying the loss of one upstream in seven", "slices", "ms", points)
	writeRow(out, "its delta to an entry host", "slices", "bytes", bytes)
	return nil
}

// applyLoss creates a service with count slices, 64 per upstream, removes one upstream in seven and assigns their slices
// to the others. It returns the time to apply the loss, and the size in bytes of its delta to an entry host.
func applyLoss(count int) (took time.Duration, size float64, err error) {
	s, index := state.New(), uint64(0)
	apply := func(c state.Command) {
		data, encodeErr := state.EncodeCommand(c)
		index++
		if _, applyErr := s.Apply(index, data); applyErr != nil || encodeErr != nil {
			err = errors.New("could not encode or apply a command")
		}
	}
	file := conf.File{Name: "s", Text: fmt.Sprintf("[service]\nname = s\nprefix = /s\nkey = path:2\nslices = %d\n", count)}
	apply(state.Command{Publish: &state.Publish{ID: "1", Files: []conf.File{file}}})
	upstreams := count / 64
	for i := range upstreams {
		apply(state.Command{JoinUpstream: &table.Upstream{Name: fmt.Sprint("u", i), Incarnation: 1, Service: "s"}})
	}
	assign := func(first, among int) {
		set, _ := s.Table("s")
		plan := &state.Plan{}
		for i, e := range set.Slices() {
			if e.Owner == 0 {
				plan.Operations = append(plan.Operations, state.Operation{Kind: state.Assign, Service: "s", Start: e.Start, Fence: e.Fence, To: uint32(first + i%among)})
			}
		}
		apply(state.Command{Plan: plan})
	}
	assign(1, upstreams)
	before, started := s.Version(), time.Now()
	drop := &state.DropUpstreams{}
	for n := 1; n <= upstreams/7; n++ {
		drop.Numbers = append(drop.Numbers, uint32(n))
	}
	apply(state.Command{DropUpstreams: drop})
	assign(upstreams/7+1, upstreams-upstreams/7)
	took = time.Since(started)
	return took, encodedBytes(s.DeltaSince(before, 0)), err
}
