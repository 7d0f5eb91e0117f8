package bench

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/place"
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Times and sizes of the simulation of one service.
const (
	tick           = 250 * time.Millisecond
	moveDuration   = 500 * time.Millisecond  // from the start of a move until the next owner serves
	lossDetectTime = 1300 * time.Millisecond // from the loss of a worker until its lease has expired
	keyCount       = 20000
	sliceCount     = 256
	requestRate    = 5000.0 // per second, all keys together
	zipfExponent   = 1.0
	hotKeyShare    = 0.002 // of requestRate; keys above it are reported as hot
	maxHotKeys     = 32
	flapWindow     = 10 * time.Minute // losses within it are reported to the policy
)

// worker is a simulated upstream. number changes with each incarnation, name does not. reportFactor is the load that it
// reports over its real load.
type worker struct {
	number       uint32
	name         int
	dataCentre   int
	state        place.MemberState
	joinedAt     time.Duration
	alive        bool
	lostAt       time.Duration
	reportFactor float64
}

// movement is a slice that gets a new owner at the time done.
type movement struct {
	start uint64
	done  time.Duration
}

// placementSim simulates one service whose slices a policy places on workers. keys are sorted, keyRates are their requests
// per second, and cumulative[i] is the sum of the rates of the keys before i. moved is the share of key space moved, and
// unserved the load not served, as a fraction of requestRate times seconds.
type placementSim struct {
	random        *rand.Rand
	now           time.Duration
	set           slice.Set
	keys          []uint64
	keyRates      []float64
	cumulative    []float64
	history       []popularity
	workers       []*worker
	moves         []movement
	nextNumber    uint32
	fence         uint64
	policy        place.Policy[place.View, state.Operation]
	policyWeights conf.Weights
	reportDelay   time.Duration
	trustReports  bool
	moved         float64
	unserved      float64
	imbalances    []float64
	losses        map[int][]time.Duration
	lastMoves     map[uint64]time.Duration
	movedTwice    int
}

// popularity is the cumulative rates of the keys from a time on.
type popularity struct {
	from       time.Duration
	cumulative []float64
}

// newPlacementSim returns a simulation with workers spread over three data centres and Zipf distributed key popularity.
func newPlacementSim(seed uint64, workers int, policy place.Policy[place.View, state.Operation], policyWeights conf.Weights) *placementSim {
	sim := &placementSim{random: rand.New(rand.NewPCG(seed, 3)), set: slice.NewSet(sliceCount), policy: policy, policyWeights: policyWeights, nextNumber: 1,
		losses: map[int][]time.Duration{}, lastMoves: map[uint64]time.Duration{}}
	for range keyCount {
		sim.keys = append(sim.keys, sim.random.Uint64())
	}
	sort.Slice(sim.keys, func(i, j int) bool { return sim.keys[i] < sim.keys[j] })
	sim.keyRates = make([]float64, keyCount)
	sum := 0.0
	for i, k := range sim.random.Perm(keyCount) {
		sim.keyRates[k] = 1 / math.Pow(float64(i+1), zipfExponent)
		sum += sim.keyRates[k]
	}
	for i := range sim.keyRates {
		sim.keyRates[i] *= requestRate / sum
	}
	sim.recordPopularity()
	for i := range workers {
		sim.join(i, i%3)
		sim.workers[i].joinedAt = -time.Hour
	}
	return sim
}

// recordPopularity sums keyRates up after a change and adds the result to the history.
func (sim *placementSim) recordPopularity() {
	sim.cumulative = make([]float64, len(sim.keys)+1)
	for i, r := range sim.keyRates {
		sim.cumulative[i+1] = sim.cumulative[i] + r
	}
	sim.history = append(sim.history, popularity{from: sim.now, cumulative: sim.cumulative})
}

// shiftHotKeys swaps the rates of the twelve hottest keys with those of random keys.
func (sim *placementSim) shiftHotKeys() {
	order := make([]int, len(sim.keyRates))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return sim.keyRates[order[a]] > sim.keyRates[order[b]] })
	for _, hot := range order[:12] {
		cold := sim.random.IntN(len(sim.keyRates))
		sim.keyRates[hot], sim.keyRates[cold] = sim.keyRates[cold], sim.keyRates[hot]
	}
	sim.recordPopularity()
}

func (sim *placementSim) join(name, dataCentre int) {
	sim.workers = append(sim.workers, &worker{number: sim.nextNumber, name: name, dataCentre: dataCentre, joinedAt: sim.now, alive: true, reportFactor: 1})
	sim.nextNumber++
}

// lose stops a worker. It remains the owner of its slices until its lease has expired.
func (sim *placementSim) lose(w *worker) {
	w.alive, w.lostAt = false, sim.now
	sim.losses[w.name] = append(sim.losses[w.name], sim.now)
}

// rates returns the requests per second of each slice, by the popularity of keys at the time given.
func (sim *placementSim) rates(at time.Duration) []float64 {
	cumulative := sim.history[0].cumulative
	for _, p := range sim.history {
		if p.from <= at {
			cumulative = p.cumulative
		}
	}
	rates := make([]float64, sim.set.Len())
	low := 0
	for i := range rates {
		last := sim.set.Last(i)
		high := sort.Search(len(sim.keys), func(k int) bool { return sim.keys[k] > last })
		rates[i] = cumulative[high] - cumulative[low]
		low = high
	}
	return rates
}

// hotKeys returns the hottest keys, by the popularity of keys at the time given.
func (sim *placementSim) hotKeys(at time.Duration) (hot []place.HotKey) {
	cumulative := sim.history[0].cumulative
	for _, p := range sim.history {
		if p.from <= at {
			cumulative = p.cumulative
		}
	}
	for i, k := range sim.keys {
		if rate := cumulative[i+1] - cumulative[i]; rate > hotKeyShare*requestRate {
			hot = append(hot, place.NewHotKey(k, rate))
		}
	}
	sort.Slice(hot, func(i, j int) bool { return hot[i].Rate() > hot[j].Rate() })
	return hot[:min(len(hot), maxHotKeys)]
}

// view returns the input of the policy. The rates are reportDelay old; if trustReports is set, they are what the workers
// report, which may be wrong.
func (sim *placementSim) view() place.View {
	at := sim.now - sim.reportDelay
	rates := sim.rates(at)
	if sim.trustReports {
		for i := range rates {
			if w := sim.worker(sim.set.At(i).Owner); w != nil {
				rates[i] *= w.reportFactor
			}
		}
	}
	var members []place.Member
	for _, w := range sim.workers {
		s := w.state
		if !w.alive {
			s = place.Unresponsive
		}
		members = append(members, place.NewMember(w.number, 3, s, w.joinedAt, sim.recentLosses(w.name)))
	}
	return place.NewView("s", sim.set, rates, members, sim.hotKeys(at), sim.policyWeights)
}

func (sim *placementSim) recentLosses(name int) (n int) {
	for _, at := range sim.losses[name] {
		if sim.now-at < flapWindow {
			n++
		}
	}
	return n
}

func (sim *placementSim) worker(number uint32) *worker {
	for _, w := range sim.workers {
		if w.number == number {
			return w
		}
	}
	return nil
}

// run simulates until the time given and calls onTick at each tick. The policy plans once per second and immediately after
// the slices of a lost worker are released.
func (sim *placementSim) run(until time.Duration, onTick func()) {
	for sim.now < until {
		sim.now += tick
		if onTick != nil {
			onTick()
		}
		lost := sim.dropExpired()
		sim.finishMoves()
		if lost || sim.now%time.Second == 0 {
			sim.apply(sim.policy.Plan(sim.now, sim.view()))
		}
		sim.measure()
	}
}

// dropExpired removes the lost workers whose lease has expired and releases their slices.
func (sim *placementSim) dropExpired() (lost bool) {
	var left []*worker
	for _, w := range sim.workers {
		if w.alive || sim.now-w.lostAt < lossDetectTime {
			left = append(left, w)
			continue
		}
		lost = true
		sim.releaseSlices(w.number)
	}
	sim.workers = left
	return lost
}

func (sim *placementSim) releaseSlices(number uint32) {
	var changes []slice.Change
	for i := range sim.set.Len() {
		e := sim.set.At(i)
		if e.Owner != number && e.Next != number {
			continue
		}
		if e.Owner == number {
			e.Owner = e.Next
		}
		e.Next = 0
		changes = append(changes, slice.Change{Slice: e})
	}
	sim.set, _ = sim.set.Apply(changes)
}

// finishMoves completes the moves that are due. A move from an owner that is lost waits until that owner's lease expires.
func (sim *placementSim) finishMoves() {
	var left []movement
	for _, m := range sim.moves {
		e, ok := sim.set.StartsAt(m.start)
		owner := sim.worker(e.Owner)
		if m.done > sim.now || ok && e.Moving() && owner != nil && !owner.alive {
			left = append(left, m)
			continue
		}
		if ok && e.Moving() {
			e.Owner, e.Next = e.Next, 0
			sim.set, _ = sim.set.Apply([]slice.Change{{Slice: e}})
		}
	}
	sim.moves = left
}

// apply starts the operations of a plan. Moves are completed later, by finishMoves.
func (sim *placementSim) apply(operations []state.Operation) {
	for _, o := range operations {
		e, ok := sim.set.StartsAt(o.Start)
		if !ok {
			continue
		}
		position := sim.set.Position(o.Start)
		sim.fence++
		switch o.Kind {
		case state.Assign:
			sim.recordMove(position, e, false)
			e.Owner = o.To
			sim.moves = append(sim.moves, movement{start: e.Start, done: sim.now + tick})
			sim.set, _ = sim.set.Apply([]slice.Change{{Slice: e}})
		case state.BeginMove:
			sim.recordMove(position, e, true)
			e.Next = o.To
			sim.moves = append(sim.moves, movement{start: e.Start, done: sim.now + moveDuration})
			sim.set, _ = sim.set.Apply([]slice.Change{{Slice: e}})
		case state.Split:
			upper := e
			upper.Start = o.At
			if o.At > e.Start && o.At <= sim.set.Last(position) {
				sim.set, _ = sim.set.Apply([]slice.Change{{Slice: upper}})
			}
		case state.Merge:
			if position+1 < sim.set.Len() {
				sim.set, _ = sim.set.Apply([]slice.Change{{Slice: sim.set.At(position + 1), Removed: true}})
			}
		}
	}
}

// recordMove counts the key space that gets a new owner, and the planned moves of slices that were moved less than
// place.HoldTime before.
func (sim *placementSim) recordMove(position int, e slice.Slice, planned bool) {
	sim.moved += sim.set.Share(position)
	if last, ok := sim.lastMoves[e.Start]; ok && planned && sim.now-last < place.HoldTime {
		sim.movedTwice++
	}
	sim.lastMoves[e.Start] = sim.now
}

// measure counts the load that is not served, and records the highest load of a worker over the mean.
func (sim *placementSim) measure() {
	rates := sim.rates(sim.now)
	loads := map[uint32]float64{}
	for i, r := range rates {
		e := sim.set.At(i)
		w := sim.worker(e.Owner)
		if w == nil || !w.alive || e.Moving() {
			sim.unserved += r / requestRate * tick.Seconds()
		}
		loads[e.Owner] += r
	}
	highest, ready := 0.0, 0
	for _, w := range sim.workers {
		if w.alive && w.state == place.Ready {
			ready++
			highest = max(highest, loads[w.number])
		}
	}
	sim.imbalances = append(sim.imbalances, highest*float64(max(ready, 1))/requestRate)
}

// meanImbalance returns the highest load of a worker over the mean load, averaged over a span of time.
func (sim *placementSim) meanImbalance(from, to time.Duration) float64 {
	span := sim.imbalances[int(from/tick):min(int(to/tick), len(sim.imbalances))]
	sum := 0.0
	for _, p := range span {
		sum += p
	}
	return sum / float64(len(span))
}

// optimalImbalance returns the lowest ratio of highest load to mean load that any placement can reach. The hottest key sets
// it, as the load of a key cannot be split.
func (sim *placementSim) optimalImbalance(workers int) float64 {
	hottest := 0.0
	for _, rate := range sim.keyRates {
		hottest = max(hottest, rate)
	}
	return max(1, hottest/requestRate*float64(workers))
}

// clear resets the counts of moves and unserved load.
func (sim *placementSim) clear() {
	sim.moved, sim.unserved, sim.movedTwice = 0, 0, 0
}
