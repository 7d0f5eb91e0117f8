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

// Times and sizes of the stand-in for one service.
const (
	step          = 250 * time.Millisecond
	moveTime      = 500 * time.Millisecond
	detectTime    = 1300 * time.Millisecond
	keysPerField  = 20000
	slicesPerTest = 256
	requestRate   = 5000.0
	zipfExponent  = 1.0
	hotKeyShare   = 0.002
	hotKeysShown  = 32
	flapMemory    = 10 * time.Minute
)

// worker is an upstream of the stand-in.
type worker struct {
	number   uint32
	name     int
	centre   int
	state    place.MemberState
	joinedAt time.Duration
	alive    bool
	lostAt   time.Duration
	lies     float64
}

// movement is a slice on its way.
type movement struct {
	start uint64
	done  time.Duration
}

// field is one service under a policy.
type field struct {
	random    *rand.Rand
	now       time.Duration
	set       slice.Set
	keys      []uint64
	weights   []float64
	prefix    []float64
	past      []weighting
	workers   []*worker
	moves     []movement
	next      uint32
	fence     uint64
	policy    place.Policy[place.View, state.Operation]
	mind      conf.Weights
	delay     time.Duration
	trusting  bool
	moved     float64
	deadTime  float64
	peaks     []float64
	losses    map[int][]time.Duration
	lastMoves map[uint64]time.Duration
	tooSoon   int
}

// weighting is how popular keys were from a time on.
type weighting struct {
	from   time.Duration
	prefix []float64
}

func newField(seed uint64, workers int, policy place.Policy[place.View, state.Operation], mind conf.Weights) *field {
	f := &field{random: rand.New(rand.NewPCG(seed, 3)), set: slice.NewSet(slicesPerTest), policy: policy, mind: mind, next: 1,
		losses: map[int][]time.Duration{}, lastMoves: map[uint64]time.Duration{}}
	for range keysPerField {
		f.keys = append(f.keys, f.random.Uint64())
	}
	sort.Slice(f.keys, func(i, j int) bool { return f.keys[i] < f.keys[j] })
	f.weights = make([]float64, keysPerField)
	sum := 0.0
	for i, k := range f.random.Perm(keysPerField) {
		f.weights[k] = 1 / math.Pow(float64(i+1), zipfExponent)
		sum += f.weights[k]
	}
	for i := range f.weights {
		f.weights[i] *= requestRate / sum
	}
	f.reweigh()
	for i := range workers {
		f.join(i, i%3)
		f.workers[i].joinedAt = -time.Hour
	}
	return f
}

// reweigh notes that the popularity of keys changed.
func (f *field) reweigh() {
	f.prefix = make([]float64, len(f.keys)+1)
	for i, w := range f.weights {
		f.prefix[i+1] = f.prefix[i] + w
	}
	f.past = append(f.past, weighting{from: f.now, prefix: f.prefix})
}

// shift makes twelve other keys the hottest.
func (f *field) shift() {
	order := make([]int, len(f.weights))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return f.weights[order[a]] > f.weights[order[b]] })
	for _, hot := range order[:12] {
		cold := f.random.IntN(len(f.weights))
		f.weights[hot], f.weights[cold] = f.weights[cold], f.weights[hot]
	}
	f.reweigh()
}

func (f *field) join(name, centre int) {
	f.workers = append(f.workers, &worker{number: f.next, name: name, centre: centre, joinedAt: f.now, alive: true, lies: 1})
	f.next++
}

// lose ends a worker; its slices stay its own until its lease is over.
func (f *field) lose(w *worker) {
	w.alive, w.lostAt = false, f.now
	f.losses[w.name] = append(f.losses[w.name], f.now)
}

// rates returns the requests per second of each slice by the keys' popularity some time ago.
func (f *field) rates(at time.Duration) []float64 {
	prefix := f.past[0].prefix
	for _, p := range f.past {
		if p.from <= at {
			prefix = p.prefix
		}
	}
	rates := make([]float64, f.set.Len())
	low := 0
	for i := range rates {
		last := f.set.Last(i)
		high := sort.Search(len(f.keys), func(k int) bool { return f.keys[k] > last })
		rates[i] = prefix[high] - prefix[low]
		low = high
	}
	return rates
}

func (f *field) hot(at time.Duration) (hot []place.HotKey) {
	prefix := f.past[0].prefix
	for _, p := range f.past {
		if p.from <= at {
			prefix = p.prefix
		}
	}
	for i, k := range f.keys {
		if w := prefix[i+1] - prefix[i]; w > hotKeyShare*requestRate {
			hot = append(hot, place.NewHotKey(k, w))
		}
	}
	sort.Slice(hot, func(i, j int) bool { return hot[i].Rate() > hot[j].Rate() })
	return hot[:min(len(hot), hotKeysShown)]
}

// view is what the policy is told: late, and false where it trusts what workers say of themselves.
func (f *field) view() place.View {
	at := f.now - f.delay
	rates := f.rates(at)
	if f.trusting {
		for i := range rates {
			if w := f.worker(f.set.At(i).Owner); w != nil {
				rates[i] *= w.lies
			}
		}
	}
	var members []place.Member
	for _, w := range f.workers {
		s := w.state
		if !w.alive {
			s = place.Unresponsive
		}
		members = append(members, place.NewMember(w.number, 3, s, w.joinedAt, f.flaps(w.name)))
	}
	return place.NewView("s", f.set, rates, members, f.hot(at), f.mind)
}

func (f *field) flaps(name int) (n int) {
	for _, at := range f.losses[name] {
		if f.now-at < flapMemory {
			n++
		}
	}
	return n
}

func (f *field) worker(number uint32) *worker {
	for _, w := range f.workers {
		if w.number == number {
			return w
		}
	}
	return nil
}

// run lets time pass; the policy plans once a second and at once after a loss.
func (f *field) run(until time.Duration, each func()) {
	for f.now < until {
		f.now += step
		if each != nil {
			each()
		}
		lost := f.expire()
		f.finish()
		if lost || f.now%time.Second == 0 {
			f.apply(f.policy.Plan(f.now, f.view()))
		}
		f.measure()
	}
}

// expire drops workers whose lease is over.
func (f *field) expire() (lost bool) {
	var left []*worker
	for _, w := range f.workers {
		if w.alive || f.now-w.lostAt < detectTime {
			left = append(left, w)
			continue
		}
		lost = true
		f.release(w.number)
	}
	f.workers = left
	return lost
}

func (f *field) release(number uint32) {
	var changes []slice.Change
	for i := range f.set.Len() {
		e := f.set.At(i)
		if e.Owner != number && e.Next != number {
			continue
		}
		if e.Owner == number {
			e.Owner = e.Next
		}
		e.Next = 0
		changes = append(changes, slice.Change{Slice: e})
	}
	f.set, _ = f.set.Apply(changes)
}

func (f *field) finish() {
	var left []movement
	for _, m := range f.moves {
		e, ok := f.set.StartsAt(m.start)
		owner := f.worker(e.Owner)
		if m.done > f.now || ok && e.Moving() && owner != nil && !owner.alive {
			left = append(left, m)
			continue
		}
		if ok && e.Moving() {
			e.Owner, e.Next = e.Next, 0
			f.set, _ = f.set.Apply([]slice.Change{{Slice: e}})
		}
	}
	f.moves = left
}

// apply carries operations out; a move takes its time.
func (f *field) apply(operations []state.Operation) {
	for _, o := range operations {
		e, ok := f.set.StartsAt(o.Start)
		if !ok {
			continue
		}
		position := f.set.Position(o.Start)
		f.fence++
		switch o.Kind {
		case state.Assign:
			f.noteMove(position, e, false)
			e.Owner = o.To
			f.moves = append(f.moves, movement{start: e.Start, done: f.now + step})
			f.set, _ = f.set.Apply([]slice.Change{{Slice: e}})
		case state.BeginMove:
			f.noteMove(position, e, true)
			e.Next = o.To
			f.moves = append(f.moves, movement{start: e.Start, done: f.now + moveTime})
			f.set, _ = f.set.Apply([]slice.Change{{Slice: e}})
		case state.Split:
			upper := e
			upper.Start = o.At
			if o.At > e.Start && o.At <= f.set.Last(position) {
				f.set, _ = f.set.Apply([]slice.Change{{Slice: upper}})
			}
		case state.Merge:
			if position+1 < f.set.Len() {
				f.set, _ = f.set.Apply([]slice.Change{{Slice: f.set.At(position + 1), Removed: true}})
			}
		}
	}
}

// noteMove counts the key space that changes hands, and slices that are moved twice within their hold time.
func (f *field) noteMove(position int, e slice.Slice, chosen bool) {
	f.moved += f.set.Share(position)
	if last, ok := f.lastMoves[e.Start]; ok && chosen && f.now-last < place.HoldTime {
		f.tooSoon++
	}
	f.lastMoves[e.Start] = f.now
}

// measure counts load that cannot be served and the highest load over the mean.
func (f *field) measure() {
	rates := f.rates(f.now)
	loads := map[uint32]float64{}
	for i, r := range rates {
		e := f.set.At(i)
		w := f.worker(e.Owner)
		if w == nil || !w.alive || e.Moving() {
			f.deadTime += r / requestRate * step.Seconds()
		}
		loads[e.Owner] += r
	}
	most, ready := 0.0, 0
	for _, w := range f.workers {
		if w.alive && w.state == place.Ready {
			ready++
			most = max(most, loads[w.number])
		}
	}
	f.peaks = append(f.peaks, most*float64(max(ready, 1))/requestRate)
}

// peak returns the mean of the highest load over the mean in a span of time.
func (f *field) peak(from, to time.Duration) float64 {
	span := f.peaks[int(from/step):min(int(to/step), len(f.peaks))]
	sum := 0.0
	for _, p := range span {
		sum += p
	}
	return sum / float64(len(span))
}

// optimum returns the least highest load over the mean that any division can reach: no key can be split.
func (f *field) optimum(workers int) float64 {
	hottest := 0.0
	for _, w := range f.weights {
		hottest = max(hottest, w)
	}
	return max(1, hottest/requestRate*float64(workers))
}

// clear forgets what was measured so far.
func (f *field) clear() {
	f.moved, f.deadTime, f.tooSoon = 0, 0, 0
}
