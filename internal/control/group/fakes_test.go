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

// fakeDisk keeps in memory what a data folder would keep on disk.
type fakeDisk struct {
	id       raft.ReplicaID
	joined   bool
	hard     raft.HardState
	snapshot raft.Snapshot
	tail     []raft.Entry
	bytes    int64
	// endsBeforeSync tells that the process is to end between the write and the sync of the next save.
	endsBeforeSync bool
	rewritten      int
	// refusals is how many bootstraps the disk refuses.
	refusals int
	// durable is what a loss of power leaves where a save was not synced, else nil.
	durable *fakeDisk
}

// errEnded is what a save returns in whose middle the process ends.
var errEnded = errors.New("the process has ended")

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
	if d.refusals > 0 {
		d.refusals--
		return errors.New("the disk refuses")
	}
	d.snapshot, d.hard, d.joined = raft.Snapshot{Index: 1, Term: 1, Members: m}, raft.HardState{Term: 1}, true
	return nil
}

func (d *fakeDisk) Join() error {
	d.joined = true
	return nil
}

func (d *fakeDisk) Save(hard *raft.HardState, entries []raft.Entry) error {
	if d.endsBeforeSync && (hard != nil || len(entries) > 0) {
		before := *d
		before.tail, before.endsBeforeSync = d.Entries(), false
		d.endsBeforeSync, d.durable = false, &before
		d.keep(hard, entries)
		return errEnded
	}
	d.keep(hard, entries)
	return nil
}

// open begins a process on the folder, which makes durable what it reads, as store.Open does.
func (d *fakeDisk) open() { d.durable = nil }

// losePower drops what was not synced.
func (d *fakeDisk) losePower() {
	if d.durable != nil {
		*d = *d.durable
	}
	d.endsBeforeSync = false
}

// holds reports whether the data is in an entry or in the snapshot, whatever the loss.
func (d *fakeDisk) holds(data []byte) bool {
	if d.durable != nil {
		return d.durable.holds(data)
	}
	return bytes.Contains(d.snapshot.Data, data) ||
		slices.ContainsFunc(d.tail, func(e raft.Entry) bool { return bytes.Contains(e.Data, data) })
}

func (d *fakeDisk) keep(hard *raft.HardState, entries []raft.Entry) {
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

// happening is something that a world does at a time.
type happening struct {
	at    time.Duration
	order int
	do    func()
}

// agenda orders happenings by time.
type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// stage is true time, a seeded order of messages, and nodes that can be paused or cut off.
type stage struct {
	random  *rand.Rand
	now     time.Duration
	agenda  agenda
	order   int
	loss    float64
	twice   float64
	cuts    map[link]bool
	resumes map[string]time.Duration
}

// link is one direction between two nodes.
type link struct {
	from string
	to   string
}

func newStage(seed uint64) *stage {
	return &stage{random: rand.New(rand.NewPCG(seed, 99)), cuts: map[link]bool{}, resumes: map[string]time.Duration{}}
}

// in does something after a while, once the node is not paused.
func (s *stage) in(node string, wait time.Duration, do func()) {
	s.order++
	heap.Push(&s.agenda, happening{at: s.now + wait, order: s.order, do: func() { s.whenRunning(node, do) }})
}

func (s *stage) whenRunning(node string, do func()) {
	if resume := s.resumes[node]; resume > s.now {
		s.in(node, resume-s.now, do)
		return
	}
	do()
}

// send delivers a message with delay, loss and duplication.
func (s *stage) send(from, to string, do func()) {
	if s.cuts[link{from, to}] || s.random.Float64() < s.loss {
		return
	}
	times := 1
	if s.random.Float64() < s.twice {
		times = 2
	}
	for range times {
		s.deliver(to, do)
	}
}

// sendOnce delivers a message at most once, as a request in a TCP connection is.
func (s *stage) sendOnce(from, to string, do func()) {
	if s.cuts[link{from, to}] || s.random.Float64() < s.loss {
		return
	}
	s.deliver(to, do)
}

func (s *stage) deliver(to string, do func()) {
	wait := time.Millisecond + time.Duration(s.random.Int64N(int64(4*time.Millisecond)))
	if s.random.Float64() < 0.01 {
		wait += time.Duration(s.random.Int64N(int64(400 * time.Millisecond)))
	}
	s.in(to, wait, do)
}

// pause freezes a node for a while; what reaches it meanwhile is handled when it wakes.
func (s *stage) pause(node string, length time.Duration) { s.resumes[node] = s.now + length }

// cut parts a node from others in one or both directions until healed.
func (s *stage) cut(node string, others []string, inward, outward bool) {
	for _, o := range others {
		if inward {
			s.cuts[link{o, node}] = true
		}
		if outward {
			s.cuts[link{node, o}] = true
		}
	}
}

func (s *stage) heal() { s.cuts = map[link]bool{} }

// run lets time pass until the end.
func (s *stage) run(end time.Duration) {
	for len(s.agenda) > 0 && s.agenda[0].at <= end {
		h := heap.Pop(&s.agenda).(happening)
		s.now = max(s.now, h.at)
		h.do()
	}
	s.now = end
}

// driftingClock is a node's monotonic clock: it runs a little fast or slow and starts anywhere.
type driftingClock struct {
	stage *stage
	rate  float64
	start time.Duration
}

func (s *stage) newClock() driftingClock {
	return driftingClock{stage: s, rate: 0.98 + 0.04*s.random.Float64(), start: time.Duration(s.random.Int64N(int64(time.Hour))) + time.Second}
}

func (c driftingClock) now() time.Duration {
	return c.start + time.Duration(float64(c.stage.now)*c.rate)
}
