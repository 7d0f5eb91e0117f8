package broker

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// noticeRetention is how long the notice of a process is kept that is not in the table.
const noticeRetention = 10 * time.Minute

// processNotice is what one upstream process has said. Number and service are those of the upstream in the table, zero and empty if it is
// not in the table.
type processNotice struct {
	number      uint32
	service     string
	leaving     bool
	leavingAt   time.Duration
	pausedUntil time.Duration
	listedAt    time.Duration
}

// notices holds what upstream processes have said to this host, and which of them leave according to the table. A process that leaves does
// so for good, whatever later tables say, also if it joins again under another number. It reads no clock and is safe for concurrent use.
type notices struct {
	mutex     sync.Mutex
	processes map[table.Process]*processNotice
}

func newNotices() *notices { return &notices{processes: map[table.Process]*processNotice{}} }

// of returns the notice of an upstream's process and creates it if necessary; the mutex must be held.
func (n *notices) of(now time.Duration, u table.Upstream) *processNotice {
	p := n.processes[u.Process()]
	if p == nil {
		p = &processNotice{}
		n.processes[u.Process()] = p
	}
	p.number, p.service, p.listedAt = u.Number, u.Service, now
	return p
}

// leave records that an upstream leaves, and reports whether that was not known.
func (n *notices) leave(now time.Duration, u table.Upstream) (first bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.markLeaving(now, u)
}

// markLeaving is leave for a caller that holds the mutex.
func (n *notices) markLeaving(now time.Duration, u table.Upstream) (first bool) {
	p := n.of(now, u)
	if p.leaving {
		return false
	}
	p.leaving, p.leavingAt = true, now
	return true
}

// leavingSince reports whether an upstream leaves, and since when this host has known.
func (n *notices) leavingSince(u table.Upstream) (at time.Duration, leaving bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p := n.processes[u.Process()]
	if p == nil || !p.leaving {
		return 0, false
	}
	return p.leavingAt, true
}

// leavingNumbers returns the numbers of the upstreams that leave.
func (n *notices) leavingNumbers() map[uint32]bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	numbers := map[uint32]bool{}
	for _, p := range n.processes {
		if p.leaving {
			numbers[p.number] = true
		}
	}
	return numbers
}

// setPause records that an upstream wants no requests from this host for some time.
func (n *notices) setPause(now time.Duration, u table.Upstream, pause time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p := n.of(now, u)
	p.pausedUntil = max(p.pausedUntil, now+pause)
}

// pause returns how much longer an upstream wants no requests from this host.
func (n *notices) pause(now time.Duration, u table.Upstream) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if p := n.processes[u.Process()]; p != nil {
		return max(p.pausedUntil-now, 0)
	}
	return 0
}

// unwilling returns the numbers of a service's upstreams that leave or pause. If some pause, soonest is the time until the first of them
// may get requests again, and otherwise zero.
func (n *notices) unwilling(now time.Duration, service string) (numbers []uint32, soonest time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, p := range n.processes {
		paused := p.pausedUntil > now
		if p.service != service || !p.leaving && !paused {
			continue
		}
		numbers = append(numbers, p.number)
		if paused && !p.leaving && (soonest == 0 || p.pausedUntil-now < soonest) {
			soonest = p.pausedUntil - now
		}
	}
	return numbers, soonest
}

// UnwillingUpstream is an upstream that leaves, or pauses for this host: for how many milliseconds it may still be sent requests for its
// keys, or gets none.
type UnwillingUpstream struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Service     string `json:"service"`
	Leaving     bool   `json:"leaving"`
	UsableMs    int64  `json:"usableMs"`
	PausedMs    int64  `json:"pausedMs"`
}

// list returns the upstreams in the table that leave or pause, by name.
func (n *notices) list(now, leaveTime time.Duration) (list []UnwillingUpstream) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for process, p := range n.processes {
		if p.number == 0 || !p.leaving && p.pausedUntil <= now {
			continue
		}
		u := UnwillingUpstream{Name: process.Name, Incarnation: process.Incarnation, Service: p.service, Leaving: p.leaving,
			PausedMs: max(p.pausedUntil-now, 0).Milliseconds()}
		if p.leaving {
			u.UsableMs = max(p.leavingAt+leaveTime-now, 0).Milliseconds()
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b UnwillingUpstream) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// update applies a new view of the table. It forgets pauses that are over, and processes that are not in the table for long.
func (n *notices) update(now time.Duration, v *table.View) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, p := range n.processes {
		p.number, p.service = 0, ""
	}
	for _, u := range v.Upstreams() {
		switch {
		case u.Leaving:
			n.markLeaving(now, u)
		case len(n.processes) > 0 && n.processes[u.Process()] != nil:
			n.of(now, u)
		}
	}
	maps.DeleteFunc(n.processes, func(_ table.Process, p *processNotice) bool {
		return !p.leaving && p.pausedUntil <= now || now-p.listedAt > noticeRetention
	})
}
