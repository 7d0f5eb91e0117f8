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

// Sizes and times of the simulation of one upstream behind many entry hosts.
const (
	admissionSlots    = 3
	admissionQueue    = 200
	serviceTime       = 10 * time.Millisecond
	remoteDelay       = time.Millisecond       // one way, to another data centre
	localDelay        = 200 * time.Microsecond // one way, within a data centre
	urgentDeadline    = 300 * time.Millisecond
	normalDeadline    = 500 * time.Millisecond
	admissionDuration = 60 * time.Second // simulated time of one run
	urgentShare       = 0.2
	batchShare        = 0.2
	assignPeriod      = time.Second
	retryInterval     = 2 * time.Millisecond // until a rejected request is queued again, and between dispatches
	windowIncrease    = 0.05
	windowDecrease    = 0.7
	greedyShare       = 0.6 // share of the load that greedyCaller sends
	modestCallers     = 5   // number of callers that send the rest
	greedyCaller      = "greedy"
	minWindow         = 0.2
	probeInterval     = 20 * time.Millisecond
)

// namedStrategy is a strategy with the name that the table shows.
type namedStrategy struct {
	name string
	make func(*admissionSim) strategy
}

// strategy shares the upstream's slots: it limits how many requests each entry host may have at the upstream.
type strategy interface {
	// limit returns the slots that an entry host may use now.
	limit(sim *admissionSim, entry int) int
	// rejected is called when the upstream has rejected a request of the entry host.
	rejected(entry int)
	// answered is called when the upstream has responded to a request of the entry host.
	answered(entry int)
	// hopDelay returns the network delay, one way, between the entry host and the host that queues its requests.
	hopDelay(entry int) time.Duration
	// upstreamDelay returns the network delay, one way, between the host that queues and the upstream.
	upstreamDelay(entry int) time.Duration
	// queueOf returns the index of the entry host that queues the requests which arrive at entry.
	queueOf(entry int) int
}

// fixedShare gives each entry host an equal share of the slots, but at least one.
type fixedShare struct {
	slots int
}

func (s *fixedShare) limit(*admissionSim, int) int        { return s.slots }
func (*fixedShare) rejected(int)                          {}
func (*fixedShare) answered(int)                          {}
func (*fixedShare) hopDelay(int) time.Duration            { return 0 }
func (*fixedShare) upstreamDelay(entry int) time.Duration { return networkDelay(entry) }
func (*fixedShare) queueOf(entry int) int                 { return entry }

// adaptiveWindow gives each entry host a window that grows with each response and shrinks with each rejection. A window
// below one slot allows one request in a part of the probe intervals.
type adaptiveWindow struct {
	size []float64
}

func (s *adaptiveWindow) limit(sim *admissionSim, entry int) int {
	if s.size[entry] >= 1 {
		return int(s.size[entry])
	}
	if int(float64(sim.now/probeInterval)*s.size[entry]) != int(float64(sim.now/probeInterval-1)*s.size[entry]) {
		return 1
	}
	return 0
}

func (s *adaptiveWindow) rejected(entry int) {
	s.size[entry] = max(minWindow, s.size[entry]*windowDecrease)
}
func (s *adaptiveWindow) answered(entry int) {
	s.size[entry] = min(admissionSlots, s.size[entry]+windowIncrease)
}
func (*adaptiveWindow) hopDelay(int) time.Duration            { return 0 }
func (*adaptiveWindow) upstreamDelay(entry int) time.Duration { return networkDelay(entry) }
func (*adaptiveWindow) queueOf(entry int) int                 { return entry }

// centralShares assigns the slots once per second to the entry hosts with the most waiting requests.
type centralShares struct {
	share      []int
	nextAssign time.Duration
}

func (s *centralShares) limit(sim *admissionSim, entry int) int {
	if sim.now >= s.nextAssign {
		s.nextAssign = sim.now + assignPeriod
		order := make([]int, len(s.share))
		for i := range order {
			order[i], s.share[i] = i, 0
		}
		sort.SliceStable(order, func(a, b int) bool { return sim.queues[order[a]].Waiting() > sim.queues[order[b]].Waiting() })
		for i := range admissionSlots {
			s.share[order[i%len(order)]]++
		}
	}
	return s.share[entry]
}

func (*centralShares) rejected(int)                          {}
func (*centralShares) answered(int)                          {}
func (*centralShares) hopDelay(int) time.Duration            { return 0 }
func (*centralShares) upstreamDelay(entry int) time.Duration { return networkDelay(entry) }
func (*centralShares) queueOf(entry int) int                 { return entry }

// homeHost lets one entry host, the upstream's home, queue the requests of all.
type homeHost struct{}

func (homeHost) limit(_ *admissionSim, entry int) int {
	if entry == 0 {
		return admissionSlots
	}
	return 0
}
func (homeHost) rejected(int) {}
func (homeHost) answered(int) {}
func (homeHost) hopDelay(entry int) time.Duration {
	if entry == 0 {
		return 0
	}
	return networkDelay(entry)
}
func (homeHost) upstreamDelay(int) time.Duration { return localDelay }
func (homeHost) queueOf(int) int                 { return 0 }

// networkDelay returns the network delay, one way, between an entry host and the upstream. The entry hosts are spread over
// three data centres; the upstream is in the first.
func networkDelay(entry int) time.Duration {
	if entry%3 == 0 {
		return localDelay
	}
	return remoteDelay
}

var strategies = []namedStrategy{
	{"static share, one slot at least", func(sim *admissionSim) strategy { return &fixedShare{slots: max(1, admissionSlots/len(sim.queues))} }},
	{"adaptive window", func(sim *admissionSim) strategy {
		s := &adaptiveWindow{size: make([]float64, len(sim.queues))}
		for i := range s.size {
			s.size[i] = 1
		}
		return s
	}},
	{"shares dealt by control", func(sim *admissionSim) strategy { return &centralShares{share: make([]int, len(sim.queues))} }},
	{"home entry host (as built)", func(*admissionSim) strategy { return homeHost{} }},
}

// request is a simulated request. queued is its entry in the admission queue.
type request struct {
	entry    int
	class    conf.Class
	caller   string
	arrived  time.Duration
	deadline time.Duration
	queued   *admit.Request
}

// admissionSim simulates many entry hosts in front of one upstream. urgent counts the urgent requests, modest the requests
// of normal class by callers other than greedyCaller; inTime counts responses within the deadline.
type admissionSim struct {
	random       *rand.Rand
	now          time.Duration
	events       eventQueue
	queues       []*admit.Queue
	strategy     strategy
	busy         int
	maxBusy      int
	rejections   int
	inTime       int
	late         int
	dropped      int
	dropWaits    []time.Duration
	urgent       int
	urgentInTime int
	modest       int
	modestInTime int
	latencies    []time.Duration
}

// event is an action at a simulated time.
type event struct {
	at time.Duration
	do func()
}

// eventQueue is a heap of events by time; it implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// schedule runs an action after a simulated time.
func (sim *admissionSim) schedule(wait time.Duration, do func()) {
	heap.Push(&sim.events, event{sim.now + wait, do})
}

// newAdmissionSim returns a simulation of the given number of entry hosts under a strategy.
func newAdmissionSim(entries int, s namedStrategy) *admissionSim {
	sim := &admissionSim{random: rand.New(rand.NewPCG(5, 6))}
	for range entries {
		sim.queues = append(sim.queues, admit.NewQueue(admissionSlots, admissionQueue))
	}
	sim.strategy = s.make(sim)
	return sim
}

// upstreamCapacity is the number of requests per second that the upstream can serve.
const upstreamCapacity = float64(admissionSlots) / (float64(serviceTime) / float64(time.Second))

// run simulates admissionDuration of random arrivals. load is the arrival rate relative to upstreamCapacity.
func (sim *admissionSim) run(load float64) {
	gap := float64(time.Second) / (upstreamCapacity * load)
	var arrive func()
	arrive = func() {
		sim.arrive()
		sim.schedule(time.Duration(sim.random.ExpFloat64()*gap), arrive)
	}
	sim.schedule(0, arrive)
	var dispatchAll func()
	dispatchAll = func() {
		for entry := range sim.queues {
			sim.dispatch(entry)
		}
		sim.schedule(retryInterval, dispatchAll)
	}
	sim.schedule(0, dispatchAll)
	for sim.now < admissionDuration {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
}

func (sim *admissionSim) arrive() {
	req := &request{entry: sim.random.IntN(len(sim.queues)), class: conf.ClassNormal, arrived: sim.now, deadline: sim.now + normalDeadline}
	switch r := sim.random.Float64(); {
	case r < urgentShare:
		req.class, req.deadline = conf.ClassUrgent, sim.now+urgentDeadline
		sim.urgent++
	case r < urgentShare+batchShare:
		req.class = conf.ClassBatch
	}
	req.caller = greedyCaller
	if sim.random.Float64() >= greedyShare {
		req.caller = fmt.Sprint("caller", sim.random.IntN(modestCallers))
		if req.class == conf.ClassNormal {
			sim.modest++
		}
	}
	sim.schedule(sim.strategy.hopDelay(req.entry), func() { sim.enqueue(req) })
}

func (sim *admissionSim) enqueue(req *request) {
	at := sim.strategy.queueOf(req.entry)
	q := sim.queues[at]
	q.Resize(sim.strategy.limit(sim, at), admissionQueue)
	req.queued = admit.NewRequest(req.class, req.caller, req.deadline-sim.strategy.hopDelay(req.entry), req)
	decision, displaced := q.Submit(sim.now, req.queued)
	if displaced != nil {
		sim.drop(displaced.Payload().(*request))
	}
	switch decision {
	case admit.Admitted:
		sim.send(at, req)
	case admit.Shed:
		sim.drop(req)
	}
}

func (sim *admissionSim) drop(req *request) {
	sim.dropped++
	sim.dropWaits = append(sim.dropWaits, sim.now-req.arrived)
}

func (sim *admissionSim) dispatch(entry int) {
	q := sim.queues[entry]
	q.Resize(sim.strategy.limit(sim, entry), admissionQueue)
	for {
		next, late := q.Dispatch(sim.now)
		sim.handleDispatched(entry, next, late)
		if next == nil {
			return
		}
	}
}

func (sim *admissionSim) handleDispatched(entry int, next *admit.Request, late []*admit.Request) {
	for _, l := range late {
		sim.drop(l.Payload().(*request))
	}
	if next != nil {
		sim.send(entry, next.Payload().(*request))
	}
}

// send sends a request to the upstream. If the upstream has no free slot, it rejects the request, which is queued again
// after retryInterval.
func (sim *admissionSim) send(entry int, req *request) {
	delay := sim.strategy.upstreamDelay(entry)
	sim.schedule(delay, func() {
		if sim.busy >= admissionSlots {
			sim.rejections++
			sim.schedule(delay, func() {
				sim.strategy.rejected(entry)
				next, late := sim.queues[entry].Release(sim.now, 0)
				sim.handleDispatched(entry, next, late)
				sim.schedule(retryInterval, func() { sim.enqueue(req) })
			})
			return
		}
		sim.busy++
		sim.maxBusy = max(sim.maxBusy, sim.busy)
		served := time.Duration(sim.random.ExpFloat64() * float64(serviceTime))
		sim.schedule(served, func() {
			sim.busy--
			sim.schedule(delay, func() { sim.complete(entry, req, served+2*delay) })
		})
	})
}

func (sim *admissionSim) complete(entry int, req *request, served time.Duration) {
	sim.strategy.answered(entry)
	next, late := sim.queues[entry].Release(sim.now, served)
	sim.handleDispatched(entry, next, late)
	took := sim.now + sim.strategy.hopDelay(req.entry) - req.arrived
	if req.arrived+took > req.deadline {
		sim.late++
		return
	}
	sim.inTime++
	sim.latencies = append(sim.latencies, took)
	switch {
	case req.class == conf.ClassUrgent:
		sim.urgentInTime++
	case req.class == conf.ClassNormal && req.caller != greedyCaller:
		sim.modestInTime++
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

// Admission writes the tables that compare the strategies to share an upstream's slots among entry hosts.
func Admission(out io.Writer) {
	for _, entries := range []int{12, 680} {
		fmt.Fprintf(out, "\n### Admission: %d entry hosts before one upstream with %d slots and %.0f requests/s\n\n", entries, admissionSlots, upstreamCapacity)
		fmt.Fprintln(out, "| load | way | goodput / capacity | p50 | p99 | turned away by upstream | dropped by queues, p50 wait | urgent in time | modest callers served |")
		fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
		for _, load := range []float64{0.5, 0.9, 1.5, 3} {
			for _, s := range strategies {
				sim := newAdmissionSim(entries, s)
				sim.run(load)
				fmt.Fprintf(out, "| %.1f | %s | %.2f | %.1f ms | %.1f ms | %d | %d, %.1f ms | %.1f%% | %.1f%% |\n", load, s.name,
					float64(sim.inTime)/upstreamCapacity/admissionDuration.Seconds(), millis(quantile(sim.latencies, 0.5)), millis(quantile(sim.latencies, 0.99)),
					sim.rejections, sim.dropped, millis(quantile(sim.dropWaits, 0.5)), percent(sim.urgentInTime, sim.urgent), percent(sim.modestInTime, sim.modest))
			}
		}
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func percent(part, total int) float64 { return 100 * float64(part) / float64(max(1, total)) }
