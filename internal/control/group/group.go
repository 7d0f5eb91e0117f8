package group

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/lease"
	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/control/store"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Periods and bounds of a control host's loop.
const (
	tickPeriod         = 10 * time.Millisecond
	dutyPeriod         = 20 * time.Millisecond
	inboxLength        = 4096
	requestsLength     = 4096
	snapshotEveryBytes = 8 << 20
	snapshotEvery      = 5000
)

// Options describe a control host.
type Options struct {
	Name        string
	Address     string
	DataCentre  string
	Folder      string
	LeaseTiming lease.Timing
	Timing      raft.Timing
	Client      *wire.Client
	Log         *events.Log
	Formation   Formation
	// Datagrams tells that small messages between control hosts go as datagrams, which nothing encrypts.
	Datagrams bool
}

// disk is what a control host keeps across restarts.
type disk interface {
	ID() raft.ReplicaID
	Joined() bool
	HardState() raft.HardState
	Snapshot() raft.Snapshot
	Entries() []raft.Entry
	LogBytes() int64
	Bootstrap(raft.Members) error
	Join() error
	Save(*raft.HardState, []raft.Entry) error
	SaveSnapshot(raft.Snapshot) error
	RewriteLog() error
	Close() error
}

// sender brings messages to the other control hosts, or drops them, and makes calls to the leader.
type sender interface {
	send(raft.Members, []raft.Message)
	forward(address string, b *table.RenewalBatch, done func(*table.RenewalBatchResponse, error))
	stop()
}

// Group is one control host; its state belongs to the goroutine of Run.
type Group struct {
	options   Options
	store     disk
	core      *raft.Core
	state     *state.State
	lead      *lead
	peers     sender
	clock     func() time.Duration
	nextDuty  time.Duration
	inbox     chan raft.Message
	requests  chan func()
	contacts  map[raft.ReplicaID]string
	waiters   map[uint64]waiter
	watchers  watchers
	prepared  preparedDeltas
	forwarder forwarder
	role      raft.Role
	former    former
	ledAt     time.Duration
	reopen    func() (disk, error)
	retryAt   time.Duration
	lostDisk  bool
	known     atomic.Pointer[items.Set]
	stop      chan struct{}
	done      chan struct{}
}

// waiter is a proposal that waits to be applied.
type waiter struct {
	term   uint64
	answer chan proposalAnswer
}

// proposalAnswer is what became of a proposal.
type proposalAnswer struct {
	result state.Result
	err    error
}

// Open opens the data folder and restores what it holds.
func Open(o Options) (g *Group, err error) {
	defer func() { err = errors.WithMessage(err, "open control host") }()
	newID := func() raft.ReplicaID { return raft.ReplicaID(rand.Uint64() | 1) }
	open := func() (disk, error) { return store.Open(o.Folder, newID) }
	d, err := open()
	if err != nil {
		return nil, err
	}
	start := clock.Boot()
	p := newPeers(o.Client)
	g, err = assemble(o, d, p, func() time.Duration { return clock.Boot() - start + time.Millisecond })
	if err != nil {
		return nil, err
	}
	p.later, g.reopen = g.later, open
	if o.Datagrams {
		if p.direct, err = listenDatagrams(o.Address); err != nil {
			return nil, err
		}
		go p.direct.run(g.accept)
	}
	return g, nil
}

// assemble puts a control host together from its disk, its way to the others and its clock.
func assemble(o Options, d disk, p sender, clock func() time.Duration) (g *Group, err error) {
	g = &Group{options: o, store: d, peers: p, clock: clock, inbox: make(chan raft.Message, inboxLength),
		requests: make(chan func(), requestsLength), contacts: map[raft.ReplicaID]string{}, waiters: map[uint64]waiter{},
		stop: make(chan struct{}), done: make(chan struct{}), state: state.New()}
	g.known.Store(g.state.Items())
	if g.store.Joined() {
		return g, g.restore()
	}
	return g, nil
}

// restore builds core and state from the data folder.
func (g *Group) restore() (err error) {
	s := g.store.Snapshot()
	if g.state, err = state.Decode(s.Data); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(uint64(g.store.ID()), g.store.HardState().Term))
	g.core = raft.New(g.store.ID(), g.options.Timing, random, g.now(), g.store.HardState(), s, g.store.Entries())
	last := s.Index
	if tail := g.store.Entries(); len(tail) > 0 {
		last = tail[len(tail)-1].Index
	}
	g.options.Log.Write(events.GroupJoined, zap.Uint64("replica", uint64(g.store.ID())), zap.Uint64("last", last),
		zap.Uint64("snapshot", s.Index), zap.Uint64("term", g.store.HardState().Term))
	return nil
}

// Run serves until Stop is called or the disk fails.
func (g *Group) Run() (err error) {
	defer func() { err = errors.WithMessage(err, "control host") }()
	defer close(g.done)
	defer g.closeDisk()
	defer g.peers.stop()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return nil
		case m := <-g.inbox:
			err = g.receive(m)
		case f := <-g.requests:
			f()
		case <-ticker.C:
			err = g.tick()
		}
		if err == nil {
			err = g.perform()
		}
		if err != nil {
			if err = g.loseDisk(err); err != nil {
				return err
			}
		}
	}
}

// Stop ends Run and waits for it.
func (g *Group) Stop() {
	select {
	case <-g.stop:
	default:
		close(g.stop)
	}
	<-g.done
}

// now is the host's monotonic time.
func (g *Group) now() time.Duration { return g.clock() }

// do runs a function in the loop and waits for it.
func (g *Group) do(ctx context.Context, f func()) (err error) {
	finished := make(chan struct{})
	select {
	case g.requests <- func() { f(); close(finished) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.done:
		return g.stopped()
	}
	select {
	case <-finished:
		return nil
	case <-g.done:
		return g.stopped()
	}
}

// stopped is the error of a call to a host that has ended.
func (g *Group) stopped() error { return &wire.ErrNoLeader{} }

// later runs a function in the loop, unless the loop ends before.
func (g *Group) later(f func()) {
	select {
	case g.requests <- f:
	case <-g.done:
	}
}

func (g *Group) receive(m raft.Message) (err error) {
	if g.lostDisk {
		return nil
	}
	if g.core == nil {
		if m.To != g.store.ID() || !m.FromLeader() {
			return nil
		}
		if err = g.join(); err != nil {
			return err
		}
	}
	if m.To == g.store.ID() && m.Address != "" {
		g.contacts[m.From] = m.Address
	}
	g.core.Step(g.now(), m)
	return nil
}

// join makes this host a replica of the group whose leader speaks to it. A candidate's word is not enough: while an
// operator starts a group host by host, candidates speak to hosts that are not started yet.
func (g *Group) join() (err error) {
	if err = g.store.Join(); err != nil {
		return err
	}
	return g.restore()
}

// post sends messages to where their receivers are, by the newest configuration or else by their own word.
func (g *Group) post(messages []raft.Message) {
	if len(messages) == 0 {
		return
	}
	members := g.core.Members()
	for i := range messages {
		messages[i].Address = g.options.Address
		to := messages[i].To
		if _, ok := members.Find(to); !ok && g.contacts[to] != "" {
			members = members.With(raft.Replica{ID: to, Address: g.contacts[to]})
		}
	}
	g.peers.send(members, messages)
}

func (g *Group) tick() (err error) {
	if g.core == nil {
		return g.findDisk()
	}
	now := g.now()
	g.core.Tick(now)
	if g.core.LeaderID() != 0 {
		g.ledAt = now
	}
	if now < g.nextDuty {
		return nil
	}
	g.nextDuty = now + dutyPeriod
	if err = g.perform(); err != nil {
		return err
	}
	g.duties(now)
	return g.compact()
}

// perform carries out the core's effects in the order persist, send, apply.
func (g *Group) perform() (err error) {
	if g.core == nil {
		return nil
	}
	g.forward()
	out := g.core.Take()
	if out.Install != nil {
		if err = g.install(*out.Install); err != nil {
			return err
		}
	}
	if err = g.store.Save(out.HardState, out.Append); err != nil {
		return err
	}
	g.post(out.Messages)
	for _, e := range out.Committed {
		if err = g.apply(e); err != nil {
			return err
		}
	}
	g.noteRole()
	g.known.Store(g.state.Items())
	g.wakeWatchers()
	return nil
}

func (g *Group) install(s raft.Snapshot) (err error) {
	if err = g.store.SaveSnapshot(s); err != nil {
		return err
	}
	if g.state, err = state.Decode(s.Data); err != nil {
		return err
	}
	g.options.Log.Write(events.SnapshotInstalled, zap.Uint64("index", s.Index))
	return nil
}

func (g *Group) apply(e raft.Entry) (err error) {
	var result state.Result
	if e.Kind == raft.EntryCommand {
		if result, err = g.state.Apply(e.Index, e.Data); err != nil {
			return err
		}
	} else {
		g.state.Skip(e.Index)
	}
	w, ok := g.waiters[e.Index]
	if !ok {
		return nil
	}
	delete(g.waiters, e.Index)
	answer := proposalAnswer{result: result}
	if w.term != e.Term {
		answer = proposalAnswer{err: &oper.ErrOutcomeUnknown{}}
	} else {
		g.noteCommitted(e.Index)
	}
	w.answer <- answer
	return nil
}

// noteCommitted tells on how many voters' disks a change stands that is about to be acknowledged.
func (g *Group) noteCommitted(index uint64) {
	disks, members := 0, g.core.Members()
	for _, m := range members {
		if m.Voter && g.core.MatchIndex(m.ID) >= index {
			disks++
		}
	}
	g.options.Log.Write(events.ChangeCommitted, zap.Uint64("index", index), zap.Int("disks", disks), zap.Int("voters", members.Voters()))
}

// compact saves a snapshot once the log has grown.
func (g *Group) compact() (err error) {
	if g.store.LogBytes() < snapshotEveryBytes && g.state.Index() < g.core.SnapshotIndex()+snapshotEvery {
		return nil
	}
	if g.state.Index() <= g.core.SnapshotIndex() {
		return nil
	}
	data, err := g.state.Encode()
	if err != nil {
		return err
	}
	s, ok := g.core.SnapshotAt(g.state.Index(), data)
	if !ok {
		return nil
	}
	if err = g.store.SaveSnapshot(s); err != nil {
		return err
	}
	g.core.Compact(s)
	g.options.Log.Write(events.SnapshotSaved, zap.Uint64("index", s.Index), zap.Int("bytes", len(data)))
	return nil
}

func (g *Group) noteRole() {
	if role := g.core.Role(); role != g.role {
		g.role = role
		g.options.Log.Write(events.RoleChanged, zap.Stringer("role", role), zap.Uint64("term", g.core.Term()))
	}
	if g.core.Role() != raft.Leader && len(g.waiters) > 0 {
		g.failWaiters()
	}
}

// failWaiters tells proposers that leadership was lost; what they proposed may still be decided.
func (g *Group) failWaiters() {
	for index, w := range g.waiters {
		w.answer <- proposalAnswer{err: &oper.ErrOutcomeUnknown{}}
		delete(g.waiters, index)
	}
}

// propose appends a command; it must run in the loop. The answer channel may be nil.
func (g *Group) propose(c state.Command, answer chan proposalAnswer) (index uint64, err error) {
	data, err := state.EncodeCommand(c)
	if err != nil {
		return 0, err
	}
	index, term, err := g.core.Propose(g.now(), data)
	if err != nil {
		return 0, g.notLeading()
	}
	if answer != nil {
		g.waiters[index] = waiter{term: term, answer: answer}
	}
	return index, nil
}

// notLeading returns the error that points to the leader this host follows.
func (g *Group) notLeading() error {
	if g.core == nil {
		return &wire.ErrNoLeader{}
	}
	return &wire.ErrNoLeader{Leader: g.leaderAddress()}
}

// leading returns the leader's duties if the lease is valid at this very moment and changes may be acknowledged.
func (g *Group) leading() (l *lead, err error) {
	if l, err = g.leadingMembers(); err == nil && !g.redundant() {
		return nil, g.notLeading()
	}
	return l, err
}

// leadingMembers returns the leader's duties if the lease is valid at this very moment, though the group may still be growing.
func (g *Group) leadingMembers() (l *lead, err error) {
	if g.core == nil || g.lead == nil || g.lead.term != g.core.Term() || !g.core.LeaseValid(g.now()) {
		return nil, g.notLeading()
	}
	return g.lead, nil
}

// decide proposes a command and waits until it is applied.
func (g *Group) decide(ctx context.Context, c state.Command) (r state.Result, err error) {
	answer := make(chan proposalAnswer, 1)
	err = g.do(ctx, func() {
		if _, e := g.leading(); e != nil {
			answer <- proposalAnswer{err: e}
			return
		}
		if _, e := g.propose(c, answer); e != nil {
			answer <- proposalAnswer{err: e}
		}
	})
	if err != nil {
		return r, err
	}
	select {
	case a := <-answer:
		return a.result, a.err
	case <-ctx.Done():
		return r, &oper.ErrOutcomeUnknown{}
	case <-g.done:
		return r, &oper.ErrOutcomeUnknown{}
	}
}
