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

// world is real control hosts with fake disks, clocks, network, entry hosts and upstreams. It checks after each step
// that no promise is broken.
type world struct {
	*stage
	terms     lease.Timing
	hosts     []*fakeHost
	entries   []*fakeEntry
	upstreams []*fakeUpstream
	effects   map[uint64]effect
	told      []toldOutcome
	leases    int
	broken    []string
	served    int
	publishes int
	nextID    uint64
	forming   Formation
}

// effect is the last thing done to a key.
type effect struct {
	fence       uint64
	upstream    string
	incarnation uint64
	at          time.Duration
}

// toldOutcome is an answer that an operator got.
type toldOutcome struct {
	id      string
	outcome table.PublishResult
	at      time.Duration
}

// fakeHost runs a real Group; a restart makes a new one from the same disk.
type fakeHost struct {
	world     *world
	name      string
	disk      *fakeDisk
	clock     driftingClock
	group     *Group
	life      int
	down      bool
	dropSends bool
	standsBy  bool
}

func (w *world) breach(format string, values ...any) {
	w.broken = append(w.broken, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, values...))
}

// worldOptions shape a world.
type worldOptions struct {
	seed    uint64
	hosts   int
	entries int
	checked int
	blind   int
}

var worldFile = conf.File{Name: "frames.ebonyrill.ini", Text: "[service]\nname = frames\nprefix = /frames\nkey = path:2\nslices = 12\n"}

func defaultTerms() lease.Timing { return lease.NewTiming(time.Second, 600*time.Millisecond) }

func newWorld(o worldOptions) *world {
	w := &world{stage: newStage(o.seed), terms: defaultTerms(), effects: map[uint64]effect{}}
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
	for i := range o.checked + o.blind {
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

// start makes a process from the disk.
func (h *fakeHost) start() {
	h.life++
	h.down, h.dropSends = false, false
	h.disk.open()
	forming := h.world.forming
	forming.Standby = h.standsBy
	g, err := assemble(Options{Name: h.name, Address: h.name, DataCentre: "dc", LeaseTiming: h.world.terms,
		Timing: raft.DefaultTiming(), Log: events.Nop(), Formation: forming}, h.disk, h, h.clock.now)
	if err != nil {
		h.world.breach("%s does not start: %v", h.name, err)
		return
	}
	h.group = g
	h.tickLater(h.life)
}

func (h *fakeHost) tickLater(life int) {
	h.world.in(h.name, tickPeriod, func() {
		if h.life != life || h.down {
			return
		}
		h.step(func(g *Group) error { return g.tick() })
		h.tickLater(life)
	})
}

// step lets the process do one thing and carry out the effects.
func (h *fakeHost) step(do func(*Group) error) {
	if h.down {
		return
	}
	err := do(h.group)
	if err == nil {
		err = h.group.perform()
	}
	if errors.Is(err, errEnded) {
		h.crash()
		return
	}
	if err != nil {
		h.world.breach("%s failed: %v", h.name, err)
	}
	h.world.checkLeases()
	if h.dropSends {
		h.crash()
	}
}

// crash ends the process; what it persisted stays.
func (h *fakeHost) crash() {
	h.down = true
	h.life++
}

// losePower ends the process; of what it persisted only what was synced stays.
func (h *fakeHost) losePower() {
	h.crash()
	h.disk.losePower()
}

// loseDisk ends the process and empties its data folder.
func (h *fakeHost) loseDisk() {
	h.crash()
	h.world.nextID++
	h.disk = &fakeDisk{id: raft.ReplicaID(1000*h.world.nextID + 7)}
}

// send implements sender; a host that is about to crash persists but does not send.
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
		h.world.stage.send(h.name, r.Address, func() {
			if !to.down {
				to.step(func(g *Group) error { return g.receive(m) })
			}
		})
	}
}

// forward implements sender; an answer that comes after the process ended reaches nobody.
func (h *fakeHost) forward(address string, b *table.RenewalBatch, done func(*table.RenewalBatchResponse, error)) {
	life := h.life
	call := func(g *Group, answer func(*table.RenewalBatchResponse, error)) { answer(g.renewManyNow(b)) }
	ask(h.world, h.name, h.world.host(address), call, func(a *table.RenewalBatchResponse, err error) {
		if h.life != life || h.down {
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

// checkLeases holds that at most one host has a valid lease at any true moment.
func (w *world) checkLeases() {
	var holders []string
	for _, h := range w.hosts {
		if !h.down && h.group != nil && h.group.core != nil && h.group.core.LeaseValid(h.clock.now()) {
			holders = append(holders, h.name)
		}
	}
	w.leases = max(w.leases, len(holders))
	if len(holders) > 1 {
		w.breach("leases at once: %v", holders)
	}
}

// leader returns the host with a valid lease, or nil.
func (w *world) leader() *fakeHost {
	for _, h := range w.hosts {
		if !h.down && w.resumes[h.name] <= w.now && h.group.core != nil && h.group.core.LeaseValid(h.clock.now()) && h.group.lead != nil {
			return h
		}
	}
	return nil
}

// askTimeout bounds one call, as it does in the entry host.
const askTimeout = 250 * time.Millisecond

// ask performs a call from a node at a host and brings the answer back, both by way of the network; without an answer
// in time the node hears of a timeout.
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
	w.stage.send(from, h.name, func() {
		if h.down {
			return
		}
		h.step(func(g *Group) error {
			call(g, func(result T, err error) { w.stage.send(h.name, from, func() { end(result, err) }) })
			return nil
		})
	})
}

// load sends requests all the time.
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

// publish lets an operator propose at a host; the answer may get lost.
func (w *world) publish(h *fakeHost, id string, base uint64, files []conf.File, got func(table.PublishResult)) {
	if h.down {
		return
	}
	answer := make(chan proposalAnswer, 1)
	h.step(func(g *Group) error {
		if _, err := g.leading(); err == nil {
			_, _ = g.propose(state.Command{Publish: &state.Publish{ID: id, Base: base, By: "test", Digest: state.Digest(files), Files: files}}, answer)
		}
		return nil
	})
	w.await(h, answer, 0, func(a proposalAnswer) {
		if a.err != nil || a.result.Outcome == nil {
			return
		}
		w.noteTold(id, *a.result.Outcome)
		got(*a.result.Outcome)
	})
}

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

// noteTold holds that an id always gets the same outcome.
func (w *world) noteTold(id string, o table.PublishResult) {
	for _, t := range w.told {
		if t.id == id && (t.outcome.Accepted != o.Accepted || t.outcome.Version != o.Version) {
			w.breach("publish %s was told %+v, then %+v", id, t.outcome, o)
		}
		if t.outcome.Accepted && o.Accepted && t.id != id && t.outcome.Version == o.Version {
			w.breach("two publishes share version %d", o.Version)
		}
	}
	w.checkDisks(id)
	w.told = append(w.told, toldOutcome{id: id, outcome: o, at: w.now})
}

// checkDisks holds that what is told is on more disks of voters than may be lost at once, in a group that forms itself.
func (w *world) checkDisks(id string) {
	if w.forming.Voters == 0 {
		return
	}
	disks, voters := 0, w.voters()
	for _, h := range w.hosts {
		if slices.Contains(voters, h.name) && h.disk.holds([]byte(id)) {
			disks++
		}
	}
	if disks <= tolerated {
		w.breach("publish %s was told with %d disks of %d voters", id, disks, len(voters))
	}
}

// checkTold holds that everything told to operators is in the leader's state.
func (w *world) checkTold() {
	h := w.leader()
	if h == nil {
		w.breach("no leader at the end")
		return
	}
	for _, t := range w.told {
		o, ok := h.group.state.Outcome(t.id)
		if !ok || o != t.outcome {
			w.breach("publish %s was told %+v, the state holds %+v", t.id, t.outcome, o)
		}
	}
}

// changeMembers asks the leader for one step of a membership change.
func (w *world) changeMembers(r oper.MembersRequest, added raft.Replica) error {
	h := w.leader()
	if h == nil {
		return &raft.ErrNotLeader{}
	}
	var err error
	h.step(func(g *Group) error {
		_, err = g.changeMembersNow(&r, added)
		return nil
	})
	return err
}
