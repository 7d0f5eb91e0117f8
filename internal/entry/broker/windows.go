package broker

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/entry/limit"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// windows holds the windows for the requests that this host sends without a slot, by upstream; it is safe for concurrent use.
type windows struct {
	mutex      sync.Mutex
	byUpstream map[uint32]*limit.Window
}

func newWindows() *windows { return &windows{byUpstream: map[uint32]*limit.Window{}} }

// update removes the windows of upstreams that are gone.
func (w *windows) update(v *table.View) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for number := range w.byUpstream {
		if _, ok := v.Upstream(number); !ok {
			delete(w.byUpstream, number)
		}
	}
}

// take counts a request to an upstream that was granted no slot, or returns the time until one may be sent.
func (w *windows) take(now time.Duration, u table.Upstream, hosts int, typical time.Duration) (wait time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	x := w.byUpstream[u.Number]
	if x == nil {
		x = limit.New(u.Slots, hosts)
		w.byUpstream[u.Number] = x
	}
	if wait = x.Wait(now, typical); wait == 0 {
		x.Take()
	}
	return wait
}

// closed returns the upstreams that may not be sent a request, and the shortest time until one of them may.
func (w *windows) closed(now time.Duration, list []table.Upstream, typical time.Duration) (numbers []uint32, soonest time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, u := range list {
		x := w.byUpstream[u.Number]
		if x == nil {
			continue
		}
		if wait := x.Wait(now, typical); wait > 0 {
			if len(numbers) == 0 || wait < soonest {
				soonest = wait
			}
			numbers = append(numbers, u.Number)
		}
	}
	return numbers, soonest
}

// unscheduled is a request that was sent without a slot.
type unscheduled struct {
	upstream table.Upstream
	sentAt   time.Duration
}

// release ends a request that was sent without a slot. It reports whether the window has shrunk, and its size.
func (w *windows) release(now, typical time.Duration, r *unscheduled, o limit.Outcome) (shrunk bool, size int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	x := w.byUpstream[r.upstream.Number]
	if x == nil {
		return false, 0
	}
	shrunk = x.Release(now, r.sentAt, typical, o, rand.Float64())
	return shrunk, x.Size()
}

// outcomeOf returns what the completion of a request says about the load of its upstream.
func outcomeOf(c sched.Completion) limit.Outcome {
	switch c {
	case sched.Answered:
		return limit.Succeeded
	case sched.Full, sched.Rejected, sched.Failed:
		return limit.Refused
	}
	return limit.Neutral
}

// takeWindow counts a request that is sent to an upstream without a slot, or returns the time until one may be sent.
func (j *job) takeWindow(u table.Upstream) (wait time.Duration) {
	b := j.broker
	if !b.options.Windows {
		return 0
	}
	now := b.options.Clock()
	if wait = b.windows.take(now, u, len(b.options.Table.View().Entries()), b.upstreams.typicalTime(j.service)); wait == 0 {
		j.unscheduled = &unscheduled{upstream: u, sentAt: now}
	}
	return wait
}

// releaseWindow ends a request that was sent without a slot.
func (j *job) releaseWindow(c sched.Completion) {
	r, b := j.unscheduled, j.broker
	if r == nil {
		return
	}
	j.unscheduled = nil
	if shrunk, size := b.windows.release(b.options.Clock(), b.upstreams.typicalTime(j.service), r, outcomeOf(c)); shrunk {
		b.options.Log.Write(events.WindowShrunk, zap.String("id", j.id), zap.String("service", j.service),
			zap.String("upstream", r.upstream.Name), zap.Int("size", size))
	}
}

// chooseUnscheduled chooses an upstream for a request that was granted no slot, within the windows. If all that could run the request
// are beyond their window, it returns the time until one may be sent a request.
func (j *job) chooseUnscheduled(now time.Duration, view *table.View) (u table.Upstream, wait time.Duration, ok bool) {
	b := j.broker
	exclude := j.excluded
	if b.options.Windows {
		closed, soonest := b.windows.closed(now, view.UpstreamsOf(j.service), b.upstreams.typicalTime(j.service))
		exclude, wait = append(closed, exclude...), soonest
	}
	for {
		if u, ok = b.upstreams.choose(now, view, j.service, b.options.DataCentre, exclude); !ok {
			return u, wait, false
		}
		taken := j.takeWindow(u)
		if taken == 0 {
			return u, 0, true
		}
		exclude, wait = append(exclude, u.Number), taken
	}
}

// minConnections is the number of connections to an upstream that a host may open however many hosts there are: one for requests and one
// for a health check or a request that takes long.
const minConnections = 2

// maxConnections returns how many connections to an upstream this host may have open, or zero if that is not limited. It is the host's
// share of those that the upstream accepts; a request with a slot may have one in any case, as the slots of all hosts together are few.
func (j *job) maxConnections(u table.Upstream, hosts int) int {
	if !j.broker.options.Windows || u.Connections <= 1 {
		return 0
	}
	share := max(u.Connections/max(hosts, 1), minConnections)
	if j.slot != nil {
		share = max(share, u.Slots)
	}
	return share
}
