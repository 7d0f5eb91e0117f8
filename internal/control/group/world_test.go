package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/control/lease"
	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// world simulates a whole system: real control hosts with fake disks, clocks, network, entry hosts and upstreams. It checks
// the system's guarantees after each step and collects violations.
type world struct {
	*simulator
	leaseTiming     lease.Timing
	hosts           []*fakeHost
	entries         []*fakeEntry
	upstreams       []*fakeUpstream
	effects         map[uint64]effect
	acknowledged    []ackedOutcome
	maxLeaseholders int
	violations      []string
	served          int
	publishes       int
	nextID          uint64
	formation       Formation
	evacuations     []*evacuationCall
}

// effect is the last request that took effect on a key.
type effect struct {
	fence       uint64
	upstream    string
	incarnation uint64
	at          time.Duration
}

// ackedOutcome is the outcome of a publish that an operator received.
type ackedOutcome struct {
	id      string
	outcome table.PublishResult
	at      time.Duration
}

// fakeHost runs a real Group on a fake disk. A restart makes a new Group from the same disk and increments generation, so that
// callbacks of the earlier process are ignored.
type fakeHost struct {
	world      *world
	name       string
	disk       *fakeDisk
	clock      driftingClock
	group      *Group
	generation int
	down       bool
	dropSends  bool
	standby    bool
}

// violation records that a guarantee was broken.
func (w *world) violation(format string, values ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, values...))
}

// worldOptions configures a world. checked and unchecked are the numbers of upstreams that check fencing tokens and that do
// not.
type worldOptions struct {
	seed      uint64
	hosts     int
	entries   int
	checked   int
	unchecked int
}

var worldFile = conf.File{Name: "frames.ebonyrill.ini", Text: "[service]\nname = frames\nprefix = /frames\nkey = path:2\nslices = 12\n"}

func defaultLeaseTiming() lease.Timing { return lease.NewTiming(time.Second, 600*time.Millisecond) }

func newWorld(o worldOptions) *world {
	w := &world{simulator: newSimulator(o.seed), leaseTiming: defaultLeaseTiming(), effects: map[uint64]effect{}}
	for i := range o.hosts {
		w.addHost(i)
	}
	var members raft.Members
	for _, h := range w.hosts {
		members = append(members, raft.Replica{ID: h.disk.id, Address: h.name, DataCentre: "dc", Voter: true})
	}
	for _, h := range w.hosts {
		_ = h.disk.Bootstrap(raft.NewMembers(members...))
		h.start()
	}
	for i := range o.entries {
		w.addEntry(i)
	}
	for i := range o.checked + o.unchecked {
		w.addUpstream(i, i < o.checked)
	}
	return w
}

func (w *world) addHost(i int) *fakeHost {
	w.nextID++
	h := &fakeHost{world: w, name: fmt.Sprintf("host%d", i), disk: &fakeDisk{id: raft.ReplicaID(1000*w.nextID + uint64(i))}, clock: w.newClock()}
	w.hosts = append(w.hosts, h)
	return h
}

// start starts a process from the disk.
func (h *fakeHost) start() {
	h.generation++
	h.down, h.dropSends = false, false
	h.disk.open()
	formation := h.world.formation
	formation.Standby = h.standby
	g, err := assemble(Options{Name: h.name, Address: h.name, DataCentre: "dc", LeaseTiming: h.world.leaseTiming,
		Timing: raft.DefaultTiming(), Log: events.Nop(), Formation: formation}, h.disk, h, h.clock.now)
	if err != nil {
		h.world.violation("%s does not start: %v", h.name, err)
		return
	}
	h.group = g
	h.tickLater(h.generation)
}

func (h *fakeHost) tickLater(generation int) {
	h.world.in(h.name, tickPeriod, func() {
		if h.generation != generation || h.down {
			return
		}
		h.step(func(g *Group) error { return g.tick() })
		h.tickLater(generation)
	})
}

// step runs one step of the process and then the effects that its core requests, as Group.Run does.
func (h *fakeHost) step(do func(*Group) error) {
	if h.down {
		return
	}
	err := do(h.group)
	if err == nil {
		err = h.group.perform()
	}
	if errors.Is(err, errCrashed) {
		h.crash()
		return
	}
	if err != nil {
		h.world.violation("%s failed: %v", h.name, err)
	}
	h.world.checkLeases()
	if h.dropSends {
		h.crash()
	}
}

// crash ends the process. Everything that it wrote stays on disk.
func (h *fakeHost) crash() {
	h.down = true
	h.generation++
}

// losePower ends the process. Of what it wrote, only what was synced stays on disk.
func (h *fakeHost) losePower() {
	h.crash()
	h.disk.losePower()
}

// loseDisk ends the process and empties its data folder, so that the next process has a new identity.
func (h *fakeHost) loseDisk() {
	h.crash()
	h.world.nextID++
	h.disk = &fakeDisk{id: raft.ReplicaID(1000*h.world.nextID + 7)}
}

// send implements sender. A host with dropSends set sends nothing; it crashes at the end of the step, after persisting.
func (h *fakeHost) send(members raft.Members, messages []raft.Message) {
	if h.dropSends {
		return
	}
	for _, m := range messages {
		r, ok := members.Find(m.To)
		if !ok {
			continue
		}
		to := h.world.host(r.Address)
		h.world.simulator.send(h.name, r.Address, func() {
			if !to.down {
				to.step(func(g *Group) error { return g.receive(m) })
			}
		})
	}
}

// forward implements sender. An answer that arrives after the process ended is dropped.
func (h *fakeHost) forward(address string, b *table.RenewalBatch, done func(*table.RenewalBatchResponse, error)) {
	generation := h.generation
	call := func(g *Group, answer func(*table.RenewalBatchResponse, error)) { answer(g.renewManyInLoop(b)) }
	ask(h.world, h.name, h.world.host(address), call, func(a *table.RenewalBatchResponse, err error) {
		if h.generation != generation || h.down {
			return
		}
		h.step(func(*Group) error {
			done(a, err)
			return nil
		})
	})
}

func (h *fakeHost) stop() {}

func (w *world) host(name string) *fakeHost {
	i := slices.IndexFunc(w.hosts, func(h *fakeHost) bool { return h.name == name })
	return w.hosts[i]
}

// checkLeases checks that at most one host holds a valid leader lease at the simulated time, whatever the hosts' clocks show.
func (w *world) checkLeases() {
	var holders []string
	for _, h := range w.hosts {
		if !h.down && h.group != nil && h.group.core != nil && h.group.core.LeaseValid(h.clock.now()) {
			holders = append(holders, h.name)
		}
	}
	w.maxLeaseholders = max(w.maxLeaseholders, len(holders))
	if len(holders) > 1 {
		w.violation("several hosts hold the leader lease: %v", holders)
	}
}

// leader returns the running host with a valid leader lease, or nil.
func (w *world) leader() *fakeHost {
	for _, h := range w.hosts {
		if !h.down && w.resumes[h.name] <= w.now && h.group.core != nil && h.group.core.LeaseValid(h.clock.now()) && h.group.leader != nil {
			return h
		}
	}
	return nil
}

// askTimeout is the timeout of one call, the same as in the entry host.
const askTimeout = 250 * time.Millisecond

// ask makes a call from a node to a host over the simulated network and passes the answer back. Without an answer within
// askTimeout, the node gets ErrOutcomeUnknown.
func ask[T any](w *world, from string, h *fakeHost, call func(*Group, func(T, error)), answer func(T, error)) {
	ended := false
	end := func(result T, err error) {
		if !ended {
			ended = true
			answer(result, err)
		}
	}
	w.in(from, askTimeout, func() {
		var none T
		end(none, &oper.ErrOutcomeUnknown{})
	})
	w.simulator.send(from, h.name, func() {
		if h.down {
			return
		}
		h.step(func(g *Group) error {
			call(g, func(result T, err error) { w.simulator.send(h.name, from, func() { end(result, err) }) })
			return nil
		})
	})
}

// load sends requests for 40 keys from all entry hosts until the given time.
func (w *world) load(until time.Duration) {
	w.in("load", 5*time.Millisecond, func() {
		hash := slice.HashKey(fmt.Sprint(w.random.IntN(40)))
		for _, e := range w.entries {
			e := e
			w.whenRunning(e.name, func() { e.request(hash) })
		}
		if w.now < until {
			w.load(until)
		}
	})
}

// publish proposes files at a host on behalf of an operator, and calls got with the outcome unless the answer is lost.
func (w *world) publish(h *fakeHost, id string, base uint64, files []conf.File, got func(table.PublishResult)) {
	if h.down {
		return
	}
	answer := make(chan proposalAnswer, 1)
	h.step(func(g *Group) error {
		if _, err := g.servingLeader(); err == nil {
			_, _ = g.propose(state.Command{Publish: &state.Publish{ID: id, Base: base, By: "test", Digest: state.Digest(files), Files: files}}, answer)
		}
		return nil
	})
	w.await(h, answer, 0, func(a proposalAnswer) {
		if a.err != nil || a.result.Outcome == nil {
			return
		}
		w.recordAck(id, *a.result.Outcome)
		got(*a.result.Outcome)
	})
}

// await polls for the answer to a proposal and gives up after 400 tries.
func (w *world) await(h *fakeHost, answer chan proposalAnswer, tries int, got func(proposalAnswer)) {
	w.in(h.name, 5*time.Millisecond, func() {
		select {
		case a := <-answer:
			got(a)
		default:
			if tries < 400 {
				w.await(h, answer, tries+1, got)
			}
		}
	})
}

// recordAck records an acknowledged outcome. It checks that a publish id always gets the same outcome, that no two publishes
// share a version, and that enough disks hold the publish.
func (w *world) recordAck(id string, o table.PublishResult) {
	for _, acked := range w.acknowledged {
		if acked.id == id && (acked.outcome.Accepted != o.Accepted || acked.outcome.Version != o.Version) {
			w.violation("publish %s was acknowledged with %+v, then %+v", id, acked.outcome, o)
		}
		if acked.outcome.Accepted && o.Accepted && acked.id != id && acked.outcome.Version == o.Version {
			w.violation("two publishes share version %d", o.Version)
		}
	}
	w.checkDisks(id)
	w.acknowledged = append(w.acknowledged, ackedOutcome{id: id, outcome: o, at: w.now})
}

// checkDisks checks, in a group that forms itself, that an acknowledged publish is on more voters' disks than may be lost at
// once.
func (w *world) checkDisks(id string) {
	if w.formation.Voters == 0 {
		return
	}
	disks, voters := 0, w.voters()
	for _, h := range w.hosts {
		if slices.Contains(voters, h.name) && h.disk.holds([]byte(id)) {
			disks++
		}
	}
	if disks <= toleratedLosses {
		w.violation("publish %s was acknowledged with %d disks of %d voters", id, disks, len(voters))
	}
}

// checkAcknowledged checks that all outcomes acknowledged to operators are in the leader's state.
func (w *world) checkAcknowledged() {
	h := w.leader()
	if h == nil {
		w.violation("no leader at the end")
		return
	}
	for _, acked := range w.acknowledged {
		o, ok := h.group.state.Outcome(acked.id)
		if !ok || o != acked.outcome {
			w.violation("publish %s was acknowledged with %+v, the state holds %+v", acked.id, acked.outcome, o)
		}
	}
}

// changeMembers asks the leader for one membership change.
func (w *world) changeMembers(r oper.MembersRequest, added raft.Replica) error {
	h := w.leader()
	if h == nil {
		return &raft.ErrNotLeader{}
	}
	var err error
	h.step(func(g *Group) error {
		_, err = g.changeMembersInLoop(&r, added)
		return nil
	})
	return err
}
