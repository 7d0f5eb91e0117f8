package bench

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/place"
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// settle is how long a service runs before a script starts.
const settle = 90 * time.Second

// contender is a policy with a name.
type contender struct {
	name string
	mind conf.Weights
	make func() place.Policy[place.View, state.Operation]
}

func weighted() place.Policy[place.View, state.Operation] { return place.NewWeighted() }

// contenders are the policies that are compared; the two weighted ones differ by the weights of the two deployments.
var contenders = []contender{
	{"modulo", conf.NewWeights(1, 1, 1), func() place.Policy[place.View, state.Operation] { return place.Modulo{} }},
	{"rendezvous", conf.NewWeights(1, 1, 1), func() place.Policy[place.View, state.Operation] { return place.Rendezvous{} }},
	{"rebalance", conf.NewWeights(1, 1, 1), func() place.Policy[place.View, state.Operation] { return place.Rebalance{} }},
	{"weighted, unavailable first", conf.NewWeights(1, 1, 5), weighted},
	{"weighted, churn first", conf.NewWeights(1, 5, 1), weighted},
}

// script is something that happens to a service.
type script struct {
	name   string
	length time.Duration
	play   func(f *field, since time.Duration)
}

var scripts = []script{
	{"steady", 120 * time.Second, func(*field, time.Duration) {}},
	{"rush: 12 hottest keys change each minute", 180 * time.Second, func(f *field, since time.Duration) {
		if since > 0 && since%time.Minute == 0 && since < 180*time.Second {
			f.shift()
		}
	}},
	{"arrival of one", 120 * time.Second, func(f *field, since time.Duration) {
		if since == time.Second {
			f.join(100, 0)
		}
	}},
	{"loss of one", 120 * time.Second, func(f *field, since time.Duration) {
		if since == time.Second {
			f.lose(f.workers[0])
		}
	}},
	{"rolling restart of all", 0, func(f *field, since time.Duration) {
		if since%(15*time.Second) == 0 && since > 0 {
			f.lose(f.workers[0])
		}
		if since%(15*time.Second) == 3*time.Second && since > 15*time.Second {
			f.join(int(since/(15*time.Second)), 0)
		}
	}},
	{"loss of one of three data centres", 120 * time.Second, func(f *field, since time.Duration) {
		if since != time.Second {
			return
		}
		for _, w := range f.workers {
			if w.centre == 0 {
				f.lose(w)
			}
		}
	}},
	{"a flapping server", 180 * time.Second, func(f *field, since time.Duration) {
		switch since % (20 * time.Second) {
		case 10 * time.Second:
			for _, w := range f.workers {
				if w.name == 1 && w.alive {
					f.lose(w)
				}
			}
		case 14 * time.Second:
			f.join(1, 1)
		}
	}},
}

// Placement writes the tables of placement: each script by each policy at the sizes of both deployments.
func Placement(out io.Writer) {
	for _, workers := range []int{6, 10, 20} {
		fmt.Fprintf(out, "\n### %d workers\n\n", workers)
		fmt.Fprintln(out, "| script | policy | max/mean, mean of the last 60 s | optimum | key space moved | load-seconds not served | moved twice within hold |")
		fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
		for _, s := range scripts {
			for _, k := range contenders {
				f := play(s, k, workers, 0)
				fmt.Fprintf(out, "| %s | %s | %.2f | %.2f | %.3f | %.3f | %d |\n", s.name, k.name, f.peak(f.now-time.Minute, f.now),
					f.optimum(aliveWorkers(f)), f.moved, f.deadTime, f.tooSoon)
			}
		}
	}
	staleness(out)
	largest(out)
}

func aliveWorkers(f *field) (n int) {
	for _, w := range f.workers {
		if w.alive {
			n++
		}
	}
	return n
}

// play runs a script after the service has settled.
func play(s script, k contender, workers int, delay time.Duration) *field {
	f := newField(11, workers, k.make(), k.mind)
	f.delay = delay
	f.run(settle, nil)
	f.clear()
	length := s.length
	if length == 0 {
		length = time.Duration(workers+3) * 15 * time.Second
	}
	f.run(settle+length, func() { s.play(f, f.now-settle) })
	return f
}

// staleness writes how reports that are late or false change the outcome of a rush.
func staleness(out io.Writer) {
	fmt.Fprintf(out, "\n### Late and false reports: rush, 10 workers, weighted (unavailable first)\n\n")
	fmt.Fprintln(out, "| input | max/mean, mean of the last 60 s | 60 s after a shift | key space moved |")
	fmt.Fprintln(out, "|---|---|---|---|")
	row := func(name string, f *field) {
		fmt.Fprintf(out, "| %s | %.2f | %.2f | %.3f |\n", name, f.peak(f.now-time.Minute, f.now), f.peak(f.now-2*time.Second, f.now), f.moved)
	}
	for _, delay := range []time.Duration{0, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
		row(fmt.Sprintf("counts of entry hosts, %v old", delay), play(scripts[1], contenders[3], 10, delay))
	}
	for _, lie := range []float64{0.3, 3} {
		for _, trusting := range []bool{false, true} {
			f := newField(11, 10, weighted(), contenders[3].mind)
			f.workers[0].lies, f.trusting = lie, trusting
			f.run(settle, nil)
			f.clear()
			f.run(settle+scripts[1].length, func() { scripts[1].play(f, f.now-settle) })
			name := "entry hosts count (as built)"
			if trusting {
				name = "workers' own reports are trusted (not built)"
			}
			row(fmt.Sprintf("1 of 10 workers reports %.1f times its load; %s", lie, name), f)
		}
	}
}

// largest writes what one decision costs at 2,000 upstreams and 128,000 slices.
func largest(out io.Writer) {
	fmt.Fprintf(out, "\n### One planning step\n\n| upstreams | slices | case | time | memory allocated |\n|---|---|---|---|---|\n")
	for _, size := range [][2]int{{500, 32000}, {1000, 64000}, {2000, 128000}} {
		for _, lost := range []int{0, 1, size[0] / 7} {
			took, bytes, operations := PlanStep(size[0], size[1], lost)
			fmt.Fprintf(out, "| %d | %d | %d lost, %d operations | %.1f ms | %.1f MB |\n", size[0], size[1], lost, operations,
				float64(took)/float64(time.Millisecond), float64(bytes)/1e6)
		}
	}
}

// PlanStep times one planning step, warm, with some upstreams lost.
func PlanStep(upstreams, count, lost int) (took time.Duration, bytes uint64, operations int) {
	whole := slice.NewSet(count).Slices()
	rates := make([]float64, count)
	for i := range whole {
		whole[i].Owner = uint32(i%upstreams) + 1
		if int(whole[i].Owner) <= lost {
			whole[i].Owner = 0
		}
		rates[i] = 1 + float64(i%17)/17
	}
	set, _ := slice.FromSlices(whole)
	var members []place.Member
	for n := lost + 1; n <= upstreams; n++ {
		members = append(members, place.NewMember(uint32(n), 3, place.Ready, -time.Hour, 0))
	}
	view := place.NewView("s", set, rates, members, nil, conf.NewWeights(1, 1, 1))
	place.NewWeighted().Plan(time.Minute, view)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	operations = len(place.NewWeighted().Plan(time.Minute, view))
	took = time.Since(started)
	runtime.ReadMemStats(&after)
	return took, after.TotalAlloc - before.TotalAlloc, operations
}
