package bench

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/admit"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// Sizes and times of the stand-in for one upstream behind many entry hosts.
const (
	admissionSlots   = 3
	admissionQueue   = 200
	serviceTime      = 10 * time.Millisecond
	hopTime          = time.Millisecond
	nearTime         = 200 * time.Microsecond
	urgentDeadline   = 300 * time.Millisecond
	normalDeadline   = 500 * time.Millisecond
	admissionLength  = 60 * time.Second
	urgentShare      = 0.2
	batchShare       = 0.2
	dealPeriod       = time.Second
	shedPause        = 2 * time.Millisecond
	windowGain       = 0.05
	windowCut        = 0.7
	greedyShare      = 0.6
	callersPerEntry  = 5
	greedyCaller     = "greedy"
	smallestWindow   = 0.2
	probeEveryWindow = 20 * time.Millisecond
)

// sharing is a way to keep entry hosts within an upstream's slots.
type sharing struct {
	name string
	make func(*crowd) sharer
}

// sharer decides how many requests an entry host may have at the upstream.
type sharer interface {
	// limit returns the slots that an entry host may use now.
	limit(c *crowd, entry int) int
	// shed hears that the upstream turned a request of the entry host away.
	shed(entry int)
	// answered hears that it answered one.
	answered(entry int)
	// hops returns the time that a request of the entry host takes to the host that queues it, each way.
	hops(entry int) time.Duration
	// wire returns the time between the host that queues and the upstream, each way.
	wire(entry int) time.Duration
	// queueOf returns the entry host that queues the request.
	queueOf(entry int) int
}

// fixedShare gives each entry host an equal part of the slots, but one at least.
type fixedShare struct {
	each int
}

func (s *fixedShare) limit(*crowd, int) int      { return s.each }
func (*fixedShare) shed(int)                     {}
func (*fixedShare) answered(int)                 {}
func (*fixedShare) hops(int) time.Duration       { return 0 }
func (*fixedShare) wire(entry int) time.Duration { return spread(entry) }
func (*fixedShare) queueOf(entry int) int        { return entry }

// window lets each entry host find its part: up with answers, down with refusals. A part below one is a slot some of the
// time.
type window struct {
	size []float64
}

func (s *window) limit(c *crowd, entry int) int {
	if s.size[entry] >= 1 {
		return int(s.size[entry])
	}
	if int(float64(c.now/probeEveryWindow)*s.size[entry]) != int(float64(c.now/probeEveryWindow-1)*s.size[entry]) {
		return 1
	}
	return 0
}

func (s *window) shed(entry int)             { s.size[entry] = max(smallestWindow, s.size[entry]*windowCut) }
func (s *window) answered(entry int)         { s.size[entry] = min(admissionSlots, s.size[entry]+windowGain) }
func (*window) hops(int) time.Duration       { return 0 }
func (*window) wire(entry int) time.Duration { return spread(entry) }
func (*window) queueOf(entry int) int        { return entry }

// dealt deals the slots once a second to the entry hosts with the most demand.
type dealt struct {
	share  []int
	dealAt time.Duration
}

func (s *dealt) limit(c *crowd, entry int) int {
	if c.now >= s.dealAt {
		s.dealAt = c.now + dealPeriod
		order := make([]int, len(s.share))
		for i := range order {
			order[i], s.share[i] = i, 0
		}
		sort.SliceStable(order, func(a, b int) bool { return c.queues[order[a]].Waiting() > c.queues[order[b]].Waiting() })
		for i := range admissionSlots {
			s.share[order[i%len(order)]]++
		}
	}
	return s.share[entry]
}

func (*dealt) shed(int)                     {}
func (*dealt) answered(int)                 {}
func (*dealt) hops(int) time.Duration       { return 0 }
func (*dealt) wire(entry int) time.Duration { return spread(entry) }
func (*dealt) queueOf(entry int) int        { return entry }

// home lets one entry host queue for all.
type home struct{}

func (home) limit(_ *crowd, entry int) int {
	if entry == 0 {
		return admissionSlots
	}
	return 0
}
func (home) shed(int)     {}
func (home) answered(int) {}
func (home) hops(entry int) time.Duration {
	if entry == 0 {
		return 0
	}
	return spread(entry)
}
func (home) wire(int) time.Duration { return nearTime }
func (home) queueOf(int) int        { return 0 }

// spread returns the time to the upstream of entry hosts that stand in three data centres.
func spread(entry int) time.Duration {
	if entry%3 == 0 {
		return nearTime
	}
	return hopTime
}

var sharings = []sharing{
	{"static share, one slot at least", func(c *crowd) sharer { return &fixedShare{each: max(1, admissionSlots/len(c.queues))} }},
	{"adaptive window", func(c *crowd) sharer {
		s := &window{size: make([]float64, len(c.queues))}
		for i := range s.size {
			s.size[i] = 1
		}
		return s
	}},
	{"shares dealt by control", func(c *crowd) sharer { return &dealt{share: make([]int, len(c.queues))} }},
	{"home entry host (as built)", func(*crowd) sharer { return home{} }},
}

// visit is one request in the stand-in.
type visit struct {
	entry    int
	class    conf.Class
	caller   string
	arrived  time.Duration
	deadline time.Duration
	ticket   *admit.Request
}

// crowd is many entry hosts before one upstream.
type crowd struct {
	random  *rand.Rand
	now     time.Duration
	events  timeline
	queues  []*admit.Queue
	sharer  sharer
	busy    int
	most    int
	sheds   int
	good    int
	late    int
	dropped int
	dropIn  []time.Duration
	urgent  int
	urgentG int
	modest  int
	modestG int
	took    []time.Duration
}

// timed is something that happens at a time.
type timed struct {
	at time.Duration
	do func()
}

// timeline orders what happens.
type timeline []timed

func (t timeline) Len() int           { return len(t) }
func (t timeline) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timeline) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push adds what happens.
func (t *timeline) Push(x any) { *t = append(*t, x.(timed)) }

// Pop takes the last.
func (t *timeline) Pop() any {
	x := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return x
}

func (c *crowd) in(wait time.Duration, do func()) { heap.Push(&c.events, timed{c.now + wait, do}) }

// newCrowd runs a load through entry hosts to one upstream under a way of sharing.
func newCrowd(entries int, s sharing) *crowd {
	c := &crowd{random: rand.New(rand.NewPCG(5, 6))}
	for range entries {
		c.queues = append(c.queues, admit.NewQueue(admissionSlots, admissionQueue))
	}
	c.sharer = s.make(c)
	return c
}

// capacity is how many requests a second the upstream can answer.
const capacity = float64(admissionSlots) / (float64(serviceTime) / float64(time.Second))

func (c *crowd) run(load float64) {
	gap := float64(time.Second) / (capacity * load)
	var arrive func()
	arrive = func() {
		c.arrive()
		c.in(time.Duration(c.random.ExpFloat64()*gap), arrive)
	}
	c.in(0, arrive)
	var pump func()
	pump = func() {
		for entry := range c.queues {
			c.pump(entry)
		}
		c.in(shedPause, pump)
	}
	c.in(0, pump)
	for c.now < admissionLength {
		e := heap.Pop(&c.events).(timed)
		c.now = e.at
		e.do()
	}
}

func (c *crowd) arrive() {
	v := &visit{entry: c.random.IntN(len(c.queues)), class: conf.ClassNormal, arrived: c.now, deadline: c.now + normalDeadline}
	switch r := c.random.Float64(); {
	case r < urgentShare:
		v.class, v.deadline = conf.ClassUrgent, c.now+urgentDeadline
		c.urgent++
	case r < urgentShare+batchShare:
		v.class = conf.ClassBatch
	}
	v.caller = greedyCaller
	if c.random.Float64() >= greedyShare {
		v.caller = fmt.Sprint("caller", c.random.IntN(callersPerEntry))
		if v.class == conf.ClassNormal {
			c.modest++
		}
	}
	c.in(c.sharer.hops(v.entry), func() { c.offer(v) })
}

func (c *crowd) offer(v *visit) {
	at := c.sharer.queueOf(v.entry)
	q := c.queues[at]
	q.Resize(c.sharer.limit(c, at), admissionQueue)
	v.ticket = admit.NewRequest(v.class, v.caller, v.deadline-c.sharer.hops(v.entry), v)
	verdict, displaced := q.Submit(c.now, v.ticket)
	if displaced != nil {
		c.drop(displaced.Payload().(*visit))
	}
	switch verdict {
	case admit.Admitted:
		c.send(at, v)
	case admit.Shed:
		c.drop(v)
	}
}

func (c *crowd) drop(v *visit) {
	c.dropped++
	c.dropIn = append(c.dropIn, c.now-v.arrived)
}

func (c *crowd) pump(entry int) {
	q := c.queues[entry]
	q.Resize(c.sharer.limit(c, entry), admissionQueue)
	for {
		next, late := q.Dispatch(c.now)
		c.take(entry, next, late)
		if next == nil {
			return
		}
	}
}

func (c *crowd) take(entry int, next *admit.Request, late []*admit.Request) {
	for _, l := range late {
		c.drop(l.Payload().(*visit))
	}
	if next != nil {
		c.send(entry, next.Payload().(*visit))
	}
}

// send brings a request to the upstream, which turns away what it has no slot for; that goes back into the queue.
func (c *crowd) send(entry int, v *visit) {
	wire := c.sharer.wire(entry)
	c.in(wire, func() {
		if c.busy >= admissionSlots {
			c.sheds++
			c.in(wire, func() {
				c.sharer.shed(entry)
				next, late := c.queues[entry].Release(c.now, 0)
				c.take(entry, next, late)
				c.in(shedPause, func() { c.offer(v) })
			})
			return
		}
		c.busy++
		c.most = max(c.most, c.busy)
		served := time.Duration(c.random.ExpFloat64() * float64(serviceTime))
		c.in(served, func() {
			c.busy--
			c.in(wire, func() { c.answer(entry, v, served+2*wire) })
		})
	})
}

func (c *crowd) answer(entry int, v *visit, served time.Duration) {
	c.sharer.answered(entry)
	next, late := c.queues[entry].Release(c.now, served)
	c.take(entry, next, late)
	took := c.now + c.sharer.hops(v.entry) - v.arrived
	if v.arrived+took > v.deadline {
		c.late++
		return
	}
	c.good++
	c.took = append(c.took, took)
	switch {
	case v.class == conf.ClassUrgent:
		c.urgentG++
	case v.class == conf.ClassNormal && v.caller != greedyCaller:
		c.modestG++
	}
}

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), times...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))]
}

// Admission writes the table of ways to share an upstream's slots.
func Admission(out io.Writer) {
	for _, entries := range []int{12, 680} {
		fmt.Fprintf(out, "\n### Admission: %d entry hosts before one upstream with %d slots and %.0f requests/s\n\n", entries, admissionSlots, capacity)
		fmt.Fprintln(out, "| load | way | goodput / capacity | p50 | p99 | turned away by upstream | dropped by queues, p50 wait | urgent in time | modest callers served |")
		fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
		for _, load := range []float64{0.5, 0.9, 1.5, 3} {
			for _, s := range sharings {
				c := newCrowd(entries, s)
				c.run(load)
				fmt.Fprintf(out, "| %.1f | %s | %.2f | %.1f ms | %.1f ms | %d | %d, %.1f ms | %.1f%% | %.1f%% |\n", load, s.name,
					float64(c.good)/capacity/admissionLength.Seconds(), millis(quantile(c.took, 0.5)), millis(quantile(c.took, 0.99)),
					c.sheds, c.dropped, millis(quantile(c.dropIn, 0.5)), percent(c.urgentG, c.urgent), percent(c.modestG, c.modest))
			}
		}
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
