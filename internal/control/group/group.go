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

// Periods and limits of a control host's loop.
const (
	tickPeriod     = 10 * time.Millisecond
	taskPeriod     = 20 * time.Millisecond
	inboxLength    = 4096
	requestsLength = 4096
	maxLogBytes    = 8 << 20 // a longer log is replaced by a snapshot
	maxLogEntries  = 5000
)

// Options configures a control host.
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
	// Datagrams sends small messages between control hosts as UDP datagrams, which are not encrypted.
	Datagrams bool
}

// disk is the persistent storage of a control host; store.Store implements it.
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

// sender transmits messages to other control hosts, without guarantee of delivery, and forwards renewals to the leader.
// It calls done with the leader's answer, in the loop.
type sender interface {
	send(raft.Members, []raft.Message)
	forward(address string, b *table.RenewalBatch, done func(*table.RenewalBatchResponse, error))
	stop()
}

// Group is one control host: a replica of the control group. Its state belongs to the goroutine of Run.
type Group struct {
	options         Options
	store           disk
	core            *raft.Core
	state           *state.State
	leader          *leaderState
	peers           sender
	clock           func() time.Duration
	nextTasks       time.Duration // when the leader's periodic tasks run next
	inbox           chan raft.Message
	requests        chan func()
	senderAddresses map[raft.ReplicaID]string // addresses carried by the last message of each replica
	waiters         map[uint64]waiter         // by log index
	watchers        watchers
	deltas          deltaCache
	forwarder       forwarder
	role            raft.Role
	formation       formationState
	leaderSeenAt    time.Duration        // when this host last knew a leader
	reopen          func() (disk, error) // opens the disk again after a failed write; may be nil
	reopenAt        time.Duration        // when to try the failed disk again
	diskFailed      bool
	latestItems     atomic.Pointer[items.Set] // copy for readers outside the loop
	stop            chan struct{}
	done            chan struct{}
}

// waiter is a caller that waits for its proposal to be applied.
type waiter struct {
	term   uint64
	answer chan proposalAnswer
}

// proposalAnswer is the result of a proposal.
type proposalAnswer struct {
	result state.Result
	err    error
}

// Open opens the data folder and restores the host's state from it. Run starts the host.
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
	p.enqueue, g.reopen = g.enqueue, open
	if o.Datagrams {
		if p.datagrams, err = listenDatagrams(o.Address); err != nil {
			return nil, err
		}
		go p.datagrams.run(g.accept)
	}
	return g, nil
}

// assemble builds a control host from its disk, its sender and its monotonic clock, and restores its state if it belongs
// to a group already.
func assemble(o Options, d disk, p sender, clock func() time.Duration) (g *Group, err error) {
	g = &Group{options: o, store: d, peers: p, clock: clock, inbox: make(chan raft.Message, inboxLength),
		requests: make(chan func(), requestsLength), senderAddresses: map[raft.ReplicaID]string{}, waiters: map[uint64]waiter{},
		stop: make(chan struct{}), done: make(chan struct{}), state: state.New()}
	g.latestItems.Store(g.state.Items())
	if g.store.Joined() {
		return g, g.restore()
	}
	return g, nil
}

// restore rebuilds the consensus core and the replicated state from the disk.
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

// Run runs the loop until Stop is called or an error occurs. After a failed disk write it steps down and retries the disk.
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
			if err = g.handleDiskFailure(err); err != nil {
				return err
			}
		}
	}
}

// Stop ends Run and waits until it has returned.
func (g *Group) Stop() {
	select {
	case <-g.stop:
	default:
		close(g.stop)
	}
	<-g.done
}

// now returns the host's monotonic time.
func (g *Group) now() time.Duration { return g.clock() }

// do runs f in the loop and waits for it to return.
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

// stopped returns the error for calls to a host whose loop has ended.
func (g *Group) stopped() error { return &wire.ErrNoLeader{} }

// enqueue submits f to the loop without waiting for it to run. f is dropped if the loop has ended.
func (g *Group) enqueue(f func()) {
	select {
	case g.requests <- f:
	case <-g.done:
	}
}

func (g *Group) receive(m raft.Message) (err error) {
	if g.diskFailed {
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
		g.senderAddresses[m.From] = m.Address
	}
	g.core.Step(g.now(), m)
	return nil
}

// join makes this host a replica of the group whose leader sent it a message. A message of a candidate must not do so:
// while an operator bootstraps a group host by host, candidates already send messages to hosts not bootstrapped yet.
func (g *Group) join() (err error) {
	if err = g.store.Join(); err != nil {
		return err
	}
	return g.restore()
}

// send sends messages to their receivers. A receiver that is not in the newest membership is reached at the address that
// its own last message carried.
func (g *Group) send(messages []raft.Message) {
	if len(messages) == 0 {
		return
	}
	members := g.core.Members()
	for i := range messages {
		messages[i].Address = g.options.Address
		to := messages[i].To
		if _, ok := members.Find(to); !ok && g.senderAddresses[to] != "" {
			members = members.With(raft.Replica{ID: to, Address: g.senderAddresses[to]})
		}
	}
	g.peers.send(members, messages)
}

func (g *Group) tick() (err error) {
	if g.core == nil {
		return g.reopenDisk()
	}
	now := g.now()
	g.core.Tick(now)
	if g.core.LeaderID() != 0 {
		g.leaderSeenAt = now
	}
	if now < g.nextTasks {
		return nil
	}
	g.nextTasks = now + taskPeriod
	if err = g.perform(); err != nil {
		return err
	}
	g.runLeaderTasks(now)
	return g.compact()
}

// perform carries out the effects that the core requests, in the order persist, send, apply.
func (g *Group) perform() (err error) {
	if g.core == nil {
		return nil
	}
	g.forwardPending()
	out := g.core.Take()
	if out.Install != nil {
		if err = g.install(*out.Install); err != nil {
			return err
		}
	}
	if err = g.store.Save(out.HardState, out.Append); err != nil {
		return err
	}
	g.send(out.Messages)
	for _, e := range out.Committed {
		if err = g.apply(e); err != nil {
			return err
		}
	}
	g.updateRole()
	g.latestItems.Store(g.state.Items())
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
		g.logCommitted(e.Index)
	}
	w.answer <- answer
	return nil
}

// logCommitted logs how many voters have a change on disk that is about to be acknowledged.
func (g *Group) logCommitted(index uint64) {
	disks, members := 0, g.core.Members()
	for _, m := range members {
		if m.Voter && g.core.MatchIndex(m.ID) >= index {
			disks++
		}
	}
	g.options.Log.Write(events.ChangeCommitted, zap.Uint64("index", index), zap.Int("disks", disks), zap.Int("voters", members.Voters()))
}

// compact saves a snapshot and truncates the log once the log exceeds its limits.
func (g *Group) compact() (err error) {
	if g.store.LogBytes() < maxLogBytes && g.state.Index() < g.core.SnapshotIndex()+maxLogEntries {
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

// updateRole logs a change of the Raft role, and fails pending proposals if this host is not the leader.
func (g *Group) updateRole() {
	if role := g.core.Role(); role != g.role {
		g.role = role
		g.options.Log.Write(events.RoleChanged, zap.Stringer("role", role), zap.Uint64("term", g.core.Term()))
	}
	if g.core.Role() != raft.Leader && len(g.waiters) > 0 {
		g.failWaiters()
	}
}

// failWaiters answers all pending proposals with an unknown outcome: a later leader may still commit them.
func (g *Group) failWaiters() {
	for index, w := range g.waiters {
		w.answer <- proposalAnswer{err: &oper.ErrOutcomeUnknown{}}
		delete(g.waiters, index)
	}
}

// propose appends a command to the log and returns its index; it must run in the loop. The result goes to answer when the
// command is applied, unless answer is nil.
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

// notLeading returns an error that redirects the caller to the leader this host follows, if it knows one.
func (g *Group) notLeading() error {
	if g.core == nil {
		return &wire.ErrNoLeader{}
	}
	return &wire.ErrNoLeader{Leader: g.leaderAddress()}
}

// servingLeader returns the leader state if this host holds a valid leader lease now and the group is redundant enough to
// acknowledge changes.
func (g *Group) servingLeader() (l *leaderState, err error) {
	if l, err = g.leaseholder(); err == nil && !g.redundant() {
		return nil, g.notLeading()
	}
	return l, err
}

// leaseholder returns the leader state if this host holds a valid leader lease now, even if the group still lacks voters.
func (g *Group) leaseholder() (l *leaderState, err error) {
	if g.core == nil || g.leader == nil || g.leader.term != g.core.Term() || !g.core.LeaseValid(g.now()) {
		return nil, g.notLeading()
	}
	return g.leader, nil
}

// proposeAndWait proposes a command and waits until it is applied. ErrOutcomeUnknown means that it may still be committed.
func (g *Group) proposeAndWait(ctx context.Context, c state.Command) (r state.Result, err error) {
	answer := make(chan proposalAnswer, 1)
	err = g.do(ctx, func() {
		if e := ctx.Err(); e != nil { // the caller may have repeated the call, and made another one after it
			answer <- proposalAnswer{err: e}
			return
		}
		if _, e := g.servingLeader(); e != nil {
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
