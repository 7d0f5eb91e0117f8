package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/control/agree"
	"ebonyrill.dev/ebonyrill/internal/control/grant"
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/ops/events"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// world is real control hosts with fake disks, clocks, network, entry hosts and upstreams. It checks after each step
// that no promise is broken.
type world struct {
	*stage
	terms     grant.Terms
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
	outcome table.Outcome
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

func newWorld(o worldOptions) *world {
	w := &world{stage: newStage(o.seed), terms: grant.NewTerms(time.Second, 600*time.Millisecond), effects: map[uint64]effect{}}
	for i := range o.hosts {
		w.addHost(i)
	}
	var members agree.Members
	for _, h := range w.hosts {
		members = append(members, agree.Replica{ID: h.disk.id, Address: h.name, DataCentre: "dc", Voter: true})
	}
	for _, h := range w.hosts {
		_ = h.disk.Bootstrap(agree.NewMembers(members...))
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
	h := &fakeHost{world: w, name: fmt.Sprintf("host%d", i), disk: &fakeDisk{id: agree.ReplicaID(1000*w.nextID + uint64(i))}, clock: w.newClock()}
	w.hosts = append(w.hosts, h)
	return h
}

// start makes a process from the disk.
func (h *fakeHost) start() {
	h.life++
	h.down, h.dropSends = false, false
	g, err := assemble(Options{Name: h.name, Address: h.name, DataCentre: "dc", Terms: h.world.terms,
		Timing: agree.DefaultTiming(), Log: events.Nop()}, h.disk, h, h.clock.now)
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

// loseDisk ends the process and empties its data folder.
func (h *fakeHost) loseDisk() {
	h.crash()
	h.world.nextID++
	h.disk = &fakeDisk{id: agree.ReplicaID(1000*h.world.nextID + 7)}
}

// send implements sender; a host that is about to crash persists but does not send.
func (h *fakeHost) send(members agree.Members, messages []agree.Message) {
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

// carry implements sender; an answer that comes after the process ended reaches nobody.
func (h *fakeHost) carry(address string, b *table.RenewalBatch, done func(*table.RenewalBatchAnswer, error)) {
	life := h.life
	call := func(g *Group, answer func(*table.RenewalBatchAnswer, error)) { answer(g.renewManyNow(b)) }
	ask(h.world, h.name, h.world.host(address), call, func(a *table.RenewalBatchAnswer, err error) {
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

// fakeEntry is an entry host: it follows the table, passes announcements on and sends requests.
type fakeEntry struct {
	world    *world
	name     string
	clock    driftingClock
	host     table.EntryHost
	view     *table.View
	control  int
	leaseEnd time.Duration
	flights  map[uint64]int
	life     int
}

func (w *world) addEntry(i int) {
	e := &fakeEntry{world: w, name: fmt.Sprintf("entry%d", i), clock: w.newClock()}
	w.entries = append(w.entries, e)
	e.start()
}

// start makes a process that knows nothing.
func (e *fakeEntry) start() {
	e.life++
	e.view, e.flights, e.leaseEnd = table.NewView(), map[uint64]int{}, 0
	e.host = table.EntryHost{Name: e.name, Incarnation: uint64(e.world.now) + 1, Address: e.name, DataCentre: "dc"}
	e.renewLater(e.life)
	e.watchLater(e.life)
}

func (e *fakeEntry) renewLater(life int) {
	e.world.in(e.name, 200*time.Millisecond, func() {
		if e.life == life {
			e.renew(nil, nil)
			e.renewLater(life)
		}
	})
}

func (e *fakeEntry) oldest() uint64 {
	oldest := e.view.Version()
	for v, n := range e.flights {
		if n > 0 {
			oldest = min(oldest, v)
		}
	}
	return oldest
}

// renew makes one renewal, with an announcement if there is one.
func (e *fakeEntry) renew(a *table.Announcement, answer func(table.GrantAnswer)) {
	r := table.Renewal{Host: e.host, Applied: e.view.Version(), Oldest: e.oldest()}
	if a != nil {
		r.Announcements = append(r.Announcements, *a)
	}
	e.renewAt(r, e.clock.now(), e.life, 0, answer)
}

// aged returns the renewal with the time since it was made.
func (e *fakeEntry) aged(r table.Renewal, since time.Duration) table.Renewal {
	r.Announcements = table.Older(r.Announcements, e.clock.now()-since)
	return r
}

// renewTries is how many hosts a renewal is tried at.
const renewTries = 6

// renewAt tries a renewal at a host, and then where that one points to or at the next.
func (e *fakeEntry) renewAt(r table.Renewal, sentAt time.Duration, life, tries int, answer func(table.GrantAnswer)) {
	tried := e.control
	h := e.world.hosts[tried%len(e.world.hosts)]
	sent := e.aged(r, sentAt)
	ask(e.world, e.name, h, func(g *Group, answer func(*table.RenewalAnswer, error)) { g.renewOrCarry(&sent, answer) }, func(got *table.RenewalAnswer, err error) {
		if e.life != life {
			return
		}
		if err != nil {
			e.turn(tried, err)
			if tries < renewTries {
				e.renewAt(r, sentAt, life, tries+1, answer)
			}
			return
		}
		if got.Joined {
			e.leaseEnd = max(e.leaseEnd, sentAt+time.Duration(got.LeaseMillis)*time.Millisecond)
		}
		if answer != nil && len(got.Grants) == 1 {
			answer(got.Grants[0])
		}
	})
}

// turn goes away from a host that did not help, to the one that it points to or else to the next.
func (e *fakeEntry) turn(tried int, err error) {
	if e.control != tried {
		return
	}
	e.control++
	var hint *wire.ErrNoLeader
	if errors.As(err, &hint) && hint.Leader != "" {
		e.control = slices.IndexFunc(e.world.hosts, func(h *fakeHost) bool { return h.name == hint.Leader })
	}
}

func (e *fakeEntry) watchLater(life int) {
	e.world.in(e.name, 60*time.Millisecond, func() {
		if e.life == life {
			e.watch(life)
			e.watchLater(life)
		}
	})
}

func (e *fakeEntry) watch(life int) {
	askedAt, held := e.world.now, e.view
	q := &table.Watch{Name: e.name, Version: held.Version(), Digest: held.Digest()}
	h := e.world.hosts[e.control%len(e.world.hosts)]
	ask(e.world, e.name, h, func(g *Group, answer func(*table.Delta, error)) { h.watch(q, g.now(), h.life, answer) }, func(d *table.Delta, err error) {
		if err != nil || e.life != life || e.view != held {
			return
		}
		next, err := e.view.Apply(*d)
		if err != nil {
			e.world.breach("%s refuses a delta: %v", e.name, err)
			return
		}
		e.adopt(next, askedAt)
	})
}

// watchPoll is how often a watch that waits looks again, and watchPatience how long it waits.
const (
	watchPoll     = 5 * time.Millisecond
	watchPatience = 50 * time.Millisecond
)

// watch answers a watch once this host is up to date.
func (h *fakeHost) watch(q *table.Watch, arrived time.Duration, life int, answer func(*table.Delta, error)) {
	last := h.group.now()-arrived > watchPatience
	p, _, err := h.group.watchNow(q, arrived, last)
	switch {
	case err != nil:
		answer(nil, err)
	case p != nil:
		answer(p.delta, nil)
	default:
		h.world.in(h.name, watchPoll, func() {
			if h.life == life && !h.down {
				h.watch(q, arrived, life, answer)
			}
		})
	}
}

// adopt holds that a configuration never reverts and that what an operator was told before the question is in it.
func (e *fakeEntry) adopt(next *table.View, askedAt time.Duration) {
	if next.Config().Version < e.view.Config().Version {
		e.world.breach("%s: configuration went from %d to %d", e.name, e.view.Config().Version, next.Config().Version)
	}
	for _, t := range e.world.told {
		if t.outcome.Accepted && t.at < askedAt && next.Config().Version < t.outcome.Version {
			e.world.breach("%s took configuration %d after %d was told to an operator", e.name, next.Config().Version, t.outcome.Version)
		}
	}
	e.view = next
}

// request sends one request for a key to its owner, as the owner's home does.
func (e *fakeEntry) request(hash uint64) {
	set, ok := e.view.Set("frames")
	if !ok {
		return
	}
	s := set.Find(hash)
	u, ok := e.view.Upstream(s.Owner)
	if !ok || s.Moving() {
		return
	}
	if home, _ := e.view.Home(u.Number); home.Name != e.name {
		return
	}
	hold := time.Second
	if !u.ChecksFence {
		hold = 600 * time.Millisecond
		if e.clock.now() >= e.leaseEnd {
			return
		}
	}
	deadline := e.world.now + hold
	version, life := e.view.Version(), e.life
	e.flights[version]++
	to := e.world.upstreamNamed(u.Name)
	ended := false
	end := func() {
		if !ended && e.life == life {
			ended = true
			e.flights[version]--
		}
	}
	e.world.stage.sendOnce(e.name, to.name, func() {
		to.serve(hash, s.Fence, u.Incarnation, deadline, func() { e.world.stage.send(to.name, e.name, end) })
	})
	e.world.in(e.name, hold+table.MaxSkew, end)
}

// fakeUpstream is an upstream that checks fences, or one that checks nothing but deadlines.
type fakeUpstream struct {
	world    *world
	name     string
	checks   bool
	clock    driftingClock
	life     int
	inc      uint64
	sequence uint64
	grants   []table.Grant
	version  uint64
	leaseEnd time.Duration
	running  map[int]table.Grant
	runs     int
	leaving  bool
	lies     bool
	emptyBy  time.Duration
}

func (w *world) addUpstream(i int, checks bool) {
	u := &fakeUpstream{world: w, name: fmt.Sprintf("up%d", i), checks: checks, clock: w.newClock()}
	w.upstreams = append(w.upstreams, u)
	u.start()
}

func (w *world) upstreamNamed(name string) *fakeUpstream {
	return w.upstreams[slices.IndexFunc(w.upstreams, func(u *fakeUpstream) bool { return u.name == name })]
}

// start makes a process that holds nothing.
func (u *fakeUpstream) start() {
	u.life++
	u.reset()
	u.announceLater(u.life)
}

func (u *fakeUpstream) reset() {
	u.inc, u.sequence = uint64(u.world.now)+uint64(u.life), 0
	u.grants, u.version, u.leaseEnd, u.running = nil, 0, 0, map[int]table.Grant{}
}

func (u *fakeUpstream) announceLater(life int) {
	u.world.in(u.name, 150*time.Millisecond, func() {
		if u.life == life {
			u.announce(life)
			u.announceLater(life)
		}
	})
}

// held is the version to acknowledge: none that took a running request's grant away.
func (u *fakeUpstream) held() uint64 {
	for _, r := range u.running {
		if !slices.ContainsFunc(u.grants, func(g table.Grant) bool { return g.From <= r.From && r.From <= g.To && g.Fence == r.Fence }) {
			return 0
		}
	}
	return u.version
}

func (u *fakeUpstream) announce(life int) {
	u.sequence++
	a := table.Announcement{Name: u.name, Incarnation: u.inc, Sequence: u.sequence, Service: "frames", Address: "127.0.0.1:1",
		DataCentre: "dc", ChecksFence: u.checks, Slots: 3, Connections: 10, Held: u.held(), Leaving: u.leaving, Healthy: true}
	if u.lies {
		a.Healthy, a.Load = u.sequence%2 == 0, float64(u.sequence%3)*1000
	}
	sentAt := u.clock.now()
	e := u.world.entries[u.world.random.IntN(len(u.world.entries))]
	u.world.stage.send(u.name, e.name, func() {
		e.renew(&a, func(g table.GrantAnswer) {
			u.world.stage.send(e.name, u.name, func() {
				if u.life == life && g.Incarnation == u.inc && g.Sequence == u.sequence {
					u.take(g, sentAt)
				}
			})
		})
	})
}

func (u *fakeUpstream) take(g table.GrantAnswer, sentAt time.Duration) {
	switch g.Status {
	case table.GrantHeld:
		if g.Changed && g.Version >= u.version {
			u.grants, u.version = g.Grants, g.Version
		}
		u.leaseEnd = max(u.leaseEnd, sentAt+time.Duration(g.LeaseMillis)*time.Millisecond)
	case table.GrantStale:
		u.life++
		u.reset()
		u.announceLater(u.life)
	}
}

func (u *fakeUpstream) owns(hash, fence uint64) bool {
	return u.clock.now() < u.leaseEnd && slices.ContainsFunc(u.grants, func(g table.Grant) bool {
		return g.From <= hash && hash <= g.To && g.Fence == fence
	})
}

// serve runs a request: an upstream that checks does so again right before the effect; one that does not runs whatever
// has not passed its deadline.
func (u *fakeUpstream) serve(hash, fence, _ uint64, deadline time.Duration, answer func()) {
	if u.world.now >= deadline || u.checks && !u.owns(hash, fence) {
		answer()
		return
	}
	if !u.checks {
		u.effect(hash, fence)
	}
	u.runs++
	id, life := u.runs, u.life
	u.running[id] = table.Grant{From: hash, To: hash, Fence: fence}
	u.world.in(u.name, time.Duration(u.world.random.Int64N(int64(30*time.Millisecond))), func() {
		if u.life != life {
			return
		}
		if u.checks && u.owns(hash, fence) && u.world.now < deadline {
			u.effect(hash, fence)
		}
		delete(u.running, id)
		answer()
	})
}

// effect holds that a key never goes back to an owner with an older fence and that one fence belongs to one owner. An
// upstream that checks nothing may serve a key by an older fence of its own: while a cancelled move reaches the entry
// hosts, or after it restarted under its address and its earlier grants have not run out. Nobody else owns the key then.
func (u *fakeUpstream) effect(hash, fence uint64) {
	w := u.world
	if u.emptyBy > 0 && w.now > u.emptyBy {
		w.breach("%s still gets work, %v after it had to be empty", u.name, w.now-u.emptyBy)
	}
	last := w.effects[hash]
	other := last.upstream != u.name
	if fence < last.fence && (u.checks || other) || fence == last.fence && other {
		w.breach("key %x: %s (%d) acts with fence %d at %v after %s (%d) did with %d at %v", hash, u.name, u.inc, fence, w.now, last.upstream, last.incarnation, last.fence, last.at)
	}
	w.effects[hash] = effect{fence: max(fence, last.fence), upstream: u.name, incarnation: u.inc, at: w.now}
	w.served++
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
func (w *world) publish(h *fakeHost, id string, base uint64, files []conf.File, got func(table.Outcome)) {
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
func (w *world) noteTold(id string, o table.Outcome) {
	for _, t := range w.told {
		if t.id == id && (t.outcome.Accepted != o.Accepted || t.outcome.Version != o.Version) {
			w.breach("publish %s was told %+v, then %+v", id, t.outcome, o)
		}
		if t.outcome.Accepted && o.Accepted && t.id != id && t.outcome.Version == o.Version {
			w.breach("two publishes share version %d", o.Version)
		}
	}
	w.told = append(w.told, toldOutcome{id: id, outcome: o, at: w.now})
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
func (w *world) changeMembers(r oper.MembersRequest, added agree.Replica) error {
	h := w.leader()
	if h == nil {
		return &agree.ErrNotLeader{}
	}
	var err error
	h.step(func(g *Group) error {
		_, err = g.changeMembersNow(&r, added)
		return nil
	})
	return err
}
