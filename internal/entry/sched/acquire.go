package sched

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// Slot is a slot at an upstream that a scheduler has assigned. It must be released with Finish.
type Slot struct {
	node      *Node
	scheduler string
	subset    Subset
	id        uint64
	Upstream  uint32
}

// ErrRejected is returned when the scheduler rejects a slot request. After is the estimated time until a slot is free.
type ErrRejected struct {
	Decision Decision
	After    time.Duration
}

// Error returns the message.
func (e *ErrRejected) Error() string { return "slot request rejected by the scheduler" }

// maxSubsetsTried is the number of subsets of a service that are asked for a free slot before the request queues in one.
const maxSubsetsTried = 3

// Acquire acquires a slot of a service, waiting in the scheduler's queue if necessary. It returns ErrRefused if the scheduler
// rejects the request, ErrNoDealer if no scheduler replies, and the context's error if the context ends first.
func (o *Node) Acquire(ctx context.Context, service string, a SlotRequest) (s *Slot, err error) {
	list := o.options.Upstreams(service)
	subsets := NewSubsets(service, list)
	expires := o.options.Clock() + a.Timeout
	if a.Upstream != 0 {
		i := slices.IndexFunc(list, func(u Upstream) bool { return u.Number == a.Upstream })
		if i < 0 {
			return nil, &ErrNoScheduler{}
		}
		return o.acquireFromSubset(ctx, subsets.Of(list[i]), a)
	}
	ordered := subsets.order(list, a.DataCentre, a.Exclude, o.hintedWait, rand.Float64)
	if len(ordered) == 0 {
		return nil, &ErrRejected{Decision: NoUpstream}
	}
	asked := 0
	for len(ordered) > 1 && asked < min(maxSubsetsTried, len(ordered)) && o.hintedWait(ordered[asked]) == 0 {
		s, err = o.acquireFromSubset(ctx, ordered[asked], subsets.forSubset(ordered[asked], a, list, expires-o.options.Clock(), true))
		if !tryNextSubset(err) {
			return s, err
		}
		asked++
	}
	for _, sub := range o.queueCandidates(ordered) {
		s, err = o.acquireFromSubset(ctx, sub, subsets.forSubset(sub, a, list, expires-o.options.Clock(), false))
		if _, none := err.(*ErrNoScheduler); !none {
			return s, err
		}
	}
	return nil, &ErrNoScheduler{}
}

// tryNextSubset reports whether the error of one subset allows asking another one.
func tryNextSubset(err error) bool {
	switch e := err.(type) {
	case *ErrNoScheduler:
		return true
	case *ErrRejected:
		return e.Decision == Busy || e.Decision == NoUpstream
	}
	return false
}

// queueCandidates returns the subsets in which to queue, those with the shortest known wait first. The ones after the first serve
// as a fallback when no scheduler replies.
func (o *Node) queueCandidates(ordered []Subset) []Subset {
	slices.SortStableFunc(ordered, func(a, b Subset) int { return cmp.Compare(o.hintedWait(a), o.hintedWait(b)) })
	return ordered[:min(len(ordered), maxHostsTried)]
}

// hintedWait returns the time until a subset should have a free slot, as last reported by its scheduler. It returns zero if a
// slot should be free now or nothing is known.
func (o *Node) hintedWait(sub Subset) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.hints[sub].wait(o.options.Clock())
}

// acquireFromSubset asks the scheduler of a subset for a slot. If that host does not reply, it asks the next candidate.
func (o *Node) acquireFromSubset(ctx context.Context, sub Subset, a SlotRequest) (s *Slot, err error) {
	if o.conn == nil {
		return nil, &ErrNoScheduler{}
	}
	o.mutex.Lock()
	hosts := o.candidates(o.options.Clock(), sub)
	o.mutex.Unlock()
	for _, h := range hosts {
		s, err = o.acquireFromHost(ctx, h, sub, a)
		if _, none := err.(*ErrNoScheduler); !none {
			return s, err
		}
		o.markUnresponsive(sub.Service, h)
		if a.NoQueue {
			break // another subset may have a free slot, which is quicker than asking a second host
		}
	}
	return nil, &ErrNoScheduler{}
}

// markUnresponsive notes a host that did not reply or does not schedule. Other hosts are preferred to it for unresponsiveTime.
func (o *Node) markUnresponsive(service string, h Host) {
	o.mutex.Lock()
	o.unresponsive[h.Address] = o.options.Clock() + unresponsiveTime
	o.mutex.Unlock()
	if o.options.OnUnresponsive != nil {
		o.options.OnUnresponsive(service, h.Name, true)
	}
}

// setHint records the time until a subset should have a free slot. The mutex must not be held.
func (o *Node) setHint(sub Subset, after time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.hints[sub] = hint{after: after, at: o.options.Clock()}
}

// acquireFromHost asks one host for a slot. While the request is queued there it sends the slot request again every pollPeriod.
// It returns ErrNoDealer if the host does not reply or schedules no slots.
func (o *Node) acquireFromHost(ctx context.Context, h Host, sub Subset, a SlotRequest) (s *Slot, err error) {
	expires := o.options.Clock() + a.Timeout
	o.mutex.Lock()
	o.nextID++
	a.ID = o.nextID
	w := &pending{replies: make(chan Reply, 4)}
	o.pending[a.ID] = w
	o.mutex.Unlock()
	defer o.forget(a.ID)
	o.submit(h, sub, a)
	unanswered := 0
	timer := time.NewTimer(replyTimeouts[0])
	defer timer.Stop()
	for {
		select {
		case r := <-w.replies:
			unanswered = -1
			switch r.Decision {
			case Assigned:
				return &Slot{node: o, scheduler: h.Address, subset: sub, id: a.ID, Upstream: r.Upstream}, nil
			case NotScheduling:
				return nil, &ErrNoScheduler{}
			case Queued:
				o.setHint(sub, r.After)
				timer.Reset(pollPeriod)
				continue
			}
			o.setHint(sub, r.After)
			return nil, &ErrRejected{Decision: r.Decision, After: r.After}
		case <-ctx.Done():
			o.sendResult(h.Address, sub, Result{ID: a.ID, Completion: Abandoned})
			return nil, ctx.Err()
		case <-timer.C:
			if unanswered++; unanswered == len(replyTimeouts) {
				o.sendResult(h.Address, sub, Result{ID: a.ID, Completion: Abandoned})
				return nil, &ErrNoScheduler{}
			}
			if unanswered > 0 {
				o.traffic.resent.Add(1)
			}
			a.Timeout = expires - o.options.Clock()
			o.submit(h, sub, a)
			timer.Reset(replyTimeouts[unanswered])
		}
	}
}

// submit passes a slot request to a host's scheduler, which may be this host's own.
func (o *Node) submit(h Host, subset Subset, a SlotRequest) {
	now := o.options.Clock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if h.Address == o.options.Self.Address {
		if !o.options.CanSchedule() {
			o.sendReplies(subset, []addressedReply{{Key{Host: h.Address, ID: a.ID}, Reply{ID: a.ID, Decision: NotScheduling}}})
			return
		}
		o.sendReplies(subset, o.scheduler(now, subset).Submit(now, h.Address, a))
		return
	}
	o.send(h.Address, subset, func(p *packet) { p.Requests = append(p.Requests, a) })
}

func (o *Node) forget(id uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.pending, id)
}

// sendResult reports a result to a scheduler, which may be this host's own. Results to other hosts are sent until acknowledged.
func (o *Node) sendResult(scheduler string, subset Subset, r Result) {
	now := o.options.Clock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if scheduler == o.options.Self.Address {
		o.sendReplies(subset, o.scheduler(now, subset).Finish(now, scheduler, r))
		return
	}
	o.unacked[r.ID] = &unacked{to: scheduler, subset: subset, result: r, at: now}
	o.sendDelayed(scheduler, subset, resultDelay, func(p *packet) { p.Results = append(p.Results, r) })
}

// Finish releases the slot and reports the outcome of its request to the scheduler.
func (s *Slot) Finish(r Result) {
	r.ID = s.id
	s.node.sendResult(s.scheduler, s.subset, r)
}
