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

// warmUp is the simulated time before a scenario starts.
const warmUp = 90 * time.Second

// namedPolicy is a placement policy with the name that the tables show, and the weights that it plans with.
type namedPolicy struct {
	name    string
	weights conf.Weights
	make    func() place.Policy[place.View, state.Operation]
}

func newWeighted() place.Policy[place.View, state.Operation] { return place.NewWeighted() }

// policies are the policies that are compared. Of the two weighted ones, one weights unavailability most, the other churn.
var policies = []namedPolicy{
	{"modulo", conf.NewWeights(1, 1, 1), func() place.Policy[place.View, state.Operation] { return place.Modulo{} }},
	{"rendezvous", conf.NewWeights(1, 1, 1), func() place.Policy[place.View, state.Operation] { return place.Rendezvous{} }},
	{"rebalance", conf.NewWeights(1, 1, 1), func() place.Policy[place.View, state.Operation] { return place.Rebalance{} }},
	{"weighted, unavailable first", conf.NewWeights(1, 1, 5), newWeighted},
	{"weighted, churn first", conf.NewWeights(1, 5, 1), newWeighted},
}

// scenario is a sequence of events in a service. onTick is called at each tick with the time since its start. A zero
// duration means 15 s per worker and 45 s more.
type scenario struct {
	name     string
	duration time.Duration
	onTick   func(sim *placementSim, since time.Duration)
}

var scenarios = []scenario{
	{"steady", 120 * time.Second, func(*placementSim, time.Duration) {}},
	{"rush: 12 hottest keys change each minute", 180 * time.Second, func(sim *placementSim, since time.Duration) {
		if since > 0 && since%time.Minute == 0 && since < 180*time.Second {
			sim.shiftHotKeys()
		}
	}},
	{"arrival of one", 120 * time.Second, func(sim *placementSim, since time.Duration) {
		if since == time.Second {
			sim.join(100, 0)
		}
	}},
	{"loss of one", 120 * time.Second, func(sim *placementSim, since time.Duration) {
		if since == time.Second {
			sim.lose(sim.workers[0])
		}
	}},
	{"rolling restart of all", 0, func(sim *placementSim, since time.Duration) {
		if since%(15*time.Second) == 0 && since > 0 {
			sim.lose(sim.workers[0])
		}
		if since%(15*time.Second) == 3*time.Second && since > 15*time.Second {
			sim.join(int(since/(15*time.Second)), 0)
		}
	}},
	{"loss of one of three data centres", 120 * time.Second, func(sim *placementSim, since time.Duration) {
		if since != time.Second {
			return
		}
		for _, w := range sim.workers {
			if w.dataCentre == 0 {
				sim.lose(w)
			}
		}
	}},
	{"a flapping server", 180 * time.Second, func(sim *placementSim, since time.Duration) {
		switch since % (20 * time.Second) {
		case 10 * time.Second:
			for _, w := range sim.workers {
				if w.name == 1 && w.alive {
					sim.lose(w)
				}
			}
		case 14 * time.Second:
			sim.join(1, 1)
		}
	}},
}

// Placement writes the tables that compare the policies in each scenario, with 6, 10 and 20 workers, and the tables
// of inaccurate reports and of the cost of planning.
func Placement(out io.Writer) {
	for _, workers := range []int{6, 10, 20} {
		fmt.Fprintf(out, "\n### %d workers\n\n", workers)
		fmt.Fprintln(out, "| script | policy | max/mean, mean of the last 60 s | optimum | key space moved | load-seconds not served | moved twice within hold |")
		fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
		for _, s := range scenarios {
			for _, p := range policies {
				sim := runScenario(s, p, workers, 0)
				fmt.Fprintf(out, "| %s | %s | %.2f | %.2f | %.3f | %.3f | %d |\n", s.name, p.name, sim.meanImbalance(sim.now-time.Minute, sim.now),
					sim.optimalImbalance(aliveWorkers(sim)), sim.moved, sim.unserved, sim.movedTwice)
			}
		}
	}
	measureInaccurateReports(out)
	measurePlanSteps(out)
}

func aliveWorkers(sim *placementSim) (n int) {
	for _, w := range sim.workers {
		if w.alive {
			n++
		}
	}
	return n
}

// runScenario runs a scenario after the warm-up, with load reports that are reportDelay old.
func runScenario(s scenario, p namedPolicy, workers int, reportDelay time.Duration) *placementSim {
	sim := newPlacementSim(11, workers, p.make(), p.weights)
	sim.reportDelay = reportDelay
	sim.run(warmUp, nil)
	sim.clear()
	length := s.duration
	if length == 0 {
		length = time.Duration(workers+3) * 15 * time.Second
	}
	sim.run(warmUp+length, func() { s.onTick(sim, sim.now-warmUp) })
	return sim
}

// measureInaccurateReports writes how inaccurate (late or false) load reports change the result of the scenario of shifting hot keys.
func measureInaccurateReports(out io.Writer) {
	fmt.Fprintf(out, "\n### Late and false reports: rush, 10 workers, weighted (unavailable first)\n\n")
	fmt.Fprintln(out, "| input | max/mean, mean of the last 60 s | 60 s after a shift | key space moved |")
	fmt.Fprintln(out, "|---|---|---|---|")
	// The run ends 60 s after the last shift of hot keys: its last 2 s give the column of that name.
	row := func(name string, sim *placementSim) {
		fmt.Fprintf(out, "| %s | %.2f | %.2f | %.3f |\n", name, sim.meanImbalance(sim.now-time.Minute, sim.now), sim.meanImbalance(sim.now-2*time.Second, sim.now), sim.moved)
	}
	for _, delay := range []time.Duration{0, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
		row(fmt.Sprintf("counts of entry hosts, %v old", delay), runScenario(scenarios[1], policies[3], 10, delay))
	}
	for _, factor := range []float64{0.3, 3} {
		for _, trust := range []bool{false, true} {
			sim := newPlacementSim(11, 10, newWeighted(), policies[3].weights)
			sim.workers[0].reportFactor, sim.trustReports = factor, trust
			sim.run(warmUp, nil)
			sim.clear()
			sim.run(warmUp+scenarios[1].duration, func() { scenarios[1].onTick(sim, sim.now-warmUp) })
			name := "entry hosts count (as built)"
			if trust {
				name = "workers' own reports are trusted (not built)"
			}
			row(fmt.Sprintf("1 of 10 workers reports %.1f times its load; %s", factor, name), sim)
		}
	}
}

// measurePlanSteps writes the time and memory that one planning step takes, up to 2,000 upstreams and 128,000 slices.
func measurePlanSteps(out io.Writer) {
	fmt.Fprintf(out, "\n### One planning step\n\n| upstreams | slices | case | time | memory allocated |\n|---|---|---|---|---|\n")
	for _, size := range [][2]int{{500, 32000}, {1000, 64000}, {2000, 128000}} {
		for _, lost := range []int{0, 1, size[0] / 7} {
			took, bytes, operations := PlanStep(size[0], size[1], lost)
			fmt.Fprintf(out, "| %d | %d | %d lost, %d operations | %.1f ms | %.1f MB |\n", size[0], size[1], lost, operations,
				float64(took)/float64(time.Millisecond), float64(bytes)/1e6)
		}
	}
}

// PlanStep measures one planning step for count slices, after an unmeasured one that warms up caches. The upstreams with
// numbers up to lost are removed, and their slices have no owner.
func PlanStep(upstreams, count, lost int) (took time.Duration, bytes uint64, operations int) {
	slices := slice.NewSet(count).Slices()
	rates := make([]float64, count)
	for i := range slices {
		slices[i].Owner = uint32(i%upstreams) + 1
		if int(slices[i].Owner) <= lost {
			slices[i].Owner = 0
		}
		rates[i] = 1 + float64(i%17)/17
	}
	set, _ := slice.FromSlices(slices)
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
