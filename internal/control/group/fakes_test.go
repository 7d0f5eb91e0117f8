package group

import (
	"bytes"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
)

// fakeDisk implements disk in memory.
type fakeDisk struct {
	id       raft.ReplicaID
	joined   bool
	hard     raft.HardState
	snapshot raft.Snapshot
	tail     []raft.Entry
	bytes    int64
	// crashBeforeSync makes the process crash between the write and the sync of the next save.
	crashBeforeSync bool
	rewritten       int
	// bootstrapFailures is how many of the next bootstraps fail.
	bootstrapFailures int
	// durable is the content that survives a power loss if the last save was not synced, else nil.
	durable *fakeDisk
}

// errCrashed is returned by a save during which the process crashes.
var errCrashed = errors.New("the process crashed")

func (d *fakeDisk) ID() raft.ReplicaID        { return d.id }
func (d *fakeDisk) Joined() bool              { return d.joined }
func (d *fakeDisk) HardState() raft.HardState { return d.hard }
func (d *fakeDisk) Snapshot() raft.Snapshot   { return d.snapshot }
func (d *fakeDisk) Entries() []raft.Entry     { return append([]raft.Entry(nil), d.tail...) }
func (d *fakeDisk) LogBytes() int64           { return d.bytes }
func (d *fakeDisk) Close() error              { return nil }

func (d *fakeDisk) RewriteLog() error {
	d.rewritten++
	return nil
}

func (d *fakeDisk) Bootstrap(m raft.Members) error {
	if d.bootstrapFailures > 0 {
		d.bootstrapFailures--
		return errors.New("the disk failed")
	}
	d.snapshot, d.hard, d.joined = raft.Snapshot{Index: 1, Term: 1, Members: m}, raft.HardState{Term: 1}, true
	return nil
}

func (d *fakeDisk) Join() error {
	d.joined = true
	return nil
}

func (d *fakeDisk) Save(hard *raft.HardState, entries []raft.Entry) error {
	if d.crashBeforeSync && (hard != nil || len(entries) > 0) {
		before := *d
		before.tail, before.crashBeforeSync = d.Entries(), false
		d.crashBeforeSync, d.durable = false, &before
		d.write(hard, entries)
		return errCrashed
	}
	d.write(hard, entries)
	return nil
}

// open starts a process on the disk, which syncs what it reads, as store.Open does.
func (d *fakeDisk) open() { d.durable = nil }

// losePower drops everything that was not synced.
func (d *fakeDisk) losePower() {
	if d.durable != nil {
		*d = *d.durable
	}
	d.crashBeforeSync = false
}

// holds reports whether an entry or the snapshot contains the data and would survive a power loss.
func (d *fakeDisk) holds(data []byte) bool {
	if d.durable != nil {
		return d.durable.holds(data)
	}
	return bytes.Contains(d.snapshot.Data, data) ||
		slices.ContainsFunc(d.tail, func(e raft.Entry) bool { return bytes.Contains(e.Data, data) })
}

func (d *fakeDisk) write(hard *raft.HardState, entries []raft.Entry) {
	for _, e := range entries {
		for len(d.tail) > 0 && d.tail[len(d.tail)-1].Index >= e.Index {
			d.tail = d.tail[:len(d.tail)-1]
		}
		d.tail = append(d.tail, e)
		d.bytes += int64(len(e.Data)) + 32
	}
	if hard != nil {
		d.hard = *hard
	}
}

func (d *fakeDisk) SaveSnapshot(s raft.Snapshot) error {
	d.snapshot, d.bytes = s, 0
	var kept []raft.Entry
	for i, e := range d.tail {
		if e.Index == s.Index && e.Term == s.Term {
			kept = append(kept, d.tail[i+1:]...)
		}
	}
	d.tail = kept
	return nil
}

// timedEvent is a function that the simulator runs at a simulated time.
type timedEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

// eventQueue is a heap of events ordered by time, and by sequence at equal times.
type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulator runs events in simulated time. It delivers messages between nodes in an order that the seed determines, with
// delay, loss and duplication, and can pause and partition nodes.
type simulator struct {
	random      *rand.Rand
	now         time.Duration
	queue       eventQueue
	sequence    int
	loss        float64
	duplication float64
	cuts        map[link]bool
	resumes     map[string]time.Duration
}

// link is one direction of the connection between two nodes.
type link struct {
	from string
	to   string
}

func newSimulator(seed uint64) *simulator {
	return &simulator{random: rand.New(rand.NewPCG(seed, 99)), cuts: map[link]bool{}, resumes: map[string]time.Duration{}}
}

// in runs a function on a node after a delay, and after the node's pause if it is paused then.
func (s *simulator) in(node string, wait time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, timedEvent{at: s.now + wait, sequence: s.sequence, do: func() { s.whenRunning(node, do) }})
}

func (s *simulator) whenRunning(node string, do func()) {
	if resume := s.resumes[node]; resume > s.now {
		s.in(node, resume-s.now, do)
		return
	}
	do()
}

// send delivers a message with delay, or loses or duplicates it.
func (s *simulator) send(from, to string, do func()) {
	if s.cuts[link{from, to}] || s.random.Float64() < s.loss {
		return
	}
	times := 1
	if s.random.Float64() < s.duplication {
		times = 2
	}
	for range times {
		s.deliver(to, do)
	}
}

// sendOnce delivers a message at most once, like a request on a TCP connection.
func (s *simulator) sendOnce(from, to string, do func()) {
	if s.cuts[link{from, to}] || s.random.Float64() < s.loss {
		return
	}
	s.deliver(to, do)
}

func (s *simulator) deliver(to string, do func()) {
	wait := time.Millisecond + time.Duration(s.random.Int64N(int64(4*time.Millisecond)))
	if s.random.Float64() < 0.01 {
		wait += time.Duration(s.random.Int64N(int64(400 * time.Millisecond)))
	}
	s.in(to, wait, do)
}

// pause freezes a node. Events that reach it meanwhile run when it resumes.
func (s *simulator) pause(node string, length time.Duration) { s.resumes[node] = s.now + length }

// cut drops messages between a node and others, in one or both directions, until heal is called.
func (s *simulator) cut(node string, others []string, inward, outward bool) {
	for _, o := range others {
		if inward {
			s.cuts[link{o, node}] = true
		}
		if outward {
			s.cuts[link{node, o}] = true
		}
	}
}

func (s *simulator) heal() { s.cuts = map[link]bool{} }

// run advances the simulated time to end and runs all events until then.
func (s *simulator) run(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		event := heap.Pop(&s.queue).(timedEvent)
		s.now = max(s.now, event.at)
		event.do()
	}
	s.now = end
}

// driftingClock is a node's monotonic clock. It runs up to 2 % fast or slow and starts at a random value.
type driftingClock struct {
	simulator *simulator
	rate      float64
	start     time.Duration
}

func (s *simulator) newClock() driftingClock {
	return driftingClock{simulator: s, rate: 0.98 + 0.04*s.random.Float64(), start: time.Duration(s.random.Int64N(int64(time.Hour))) + time.Second}
}

func (c driftingClock) now() time.Duration {
	return c.start + time.Duration(float64(c.simulator.now)*c.rate)
}
