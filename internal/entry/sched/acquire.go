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
	// permitEnd is when the permit ends, zero if the slot is none. sent is set once the request may have been sent.
	permitEnd time.Duration
	sent      bool
}

// Permit reports whether the slot is a permit at a cold upstream, and after which time its request must not be sent.
func (s *Slot) Permit() (end time.Duration, ok bool) { return s.permitEnd, s.permitEnd > 0 }

// MarkSent records that the request is about to be sent. The permit of a slot that is released without it is granted again.
func (s *Slot) MarkSent() { s.sent = true }

// ErrRejected is returned when the scheduler rejects a slot request. After is the estimated time until a slot is free.
type ErrRejected struct {
	Decision Decision
	After    time.Duration
}

// Error returns the message.
func (e *ErrRejected) Error() string { return "slot request rejected by the scheduler" }

// maxSubsetsTried is the number of subsets of a service that are asked for a free slot before the request queues in one.
const maxSubsetsTried = 3

// Acquire acquires a slot of a service, waiting in the scheduler's queue if necessary. It returns ErrRejected if the scheduler
// rejects the request, ErrNoScheduler if no scheduler replies, and the context's error if the context ends first.
func (n *Node) Acquire(ctx context.Context, service string, request SlotRequest) (s *Slot, err error) {
	d := n.directoryOf(service)
	expires := n.options.Clock() + request.Timeout
	if request.Upstream != 0 {
		u, ok := d.byNumber[request.Upstream]
		if !ok {
			return nil, &ErrNoScheduler{}
		}
		return n.acquireFromSubset(ctx, d.subsets.Of(u), request)
	}
	wait := n.waitFrom(request.DataCentre)
	ordered := d.order(request.DataCentre, request.Exclude, wait, rand.Float64)
	if len(ordered) == 0 {
		return nil, &ErrRejected{Decision: NoUpstream}
	}
	asked := 0
	for len(ordered) > 1 && asked < min(maxSubsetsTried, len(ordered)) && n.hintedWait(ordered[asked]) == 0 {
		s, err = n.acquireFromSubset(ctx, ordered[asked], d.forSubset(ordered[asked], request, expires-n.options.Clock(), true))
		if !tryNextSubset(err) {
			return s, err
		}
		asked++
	}
	for _, sub := range n.queueCandidates(ordered, wait) {
		s, err = n.acquireFromSubset(ctx, sub, d.forSubset(sub, request, expires-n.options.Clock(), false))
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
func (n *Node) queueCandidates(ordered []Subset, wait func(Subset) time.Duration) []Subset {
	slices.SortStableFunc(ordered, func(a, b Subset) int { return cmp.Compare(wait(a), wait(b)) })
	return ordered[:min(len(ordered), maxHostsTried)]
}

// waitFrom returns the hinted waits of subsets for requests from a data centre. Those in other data centres count as longer by the delay
// that a request may have to save the bytes of the way there.
func (n *Node) waitFrom(dataCentre string) func(Subset) time.Duration {
	return func(s Subset) time.Duration {
		if s.DataCentre != "" && s.DataCentre != dataCentre {
			return n.hintedWait(s) + n.options.RemoteDelay
		}
		return n.hintedWait(s)
	}
}

// hintedWait returns the time until a subset should have a free slot, as last reported by its scheduler. It returns zero if a
// slot should be free now or nothing is known.
func (n *Node) hintedWait(sub Subset) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.hints[sub].wait(n.options.Clock())
}

// acquireFromSubset asks the scheduler of a subset for a slot. If that host does not reply, it asks the next candidate.
func (n *Node) acquireFromSubset(ctx context.Context, sub Subset, request SlotRequest) (s *Slot, err error) {
	if n.conn == nil {
		return nil, &ErrNoScheduler{}
	}
	n.mutex.Lock()
	hosts := n.candidates(n.options.Clock(), sub)
	n.mutex.Unlock()
	for _, h := range hosts {
		s, err = n.acquireFromHost(ctx, h, sub, request)
		if _, none := err.(*ErrNoScheduler); !none {
			return s, err
		}
		n.markUnresponsive(sub.Service, h)
		if request.NoQueue {
			break // another subset may have a free slot, which is quicker than asking a second host
		}
	}
	return nil, &ErrNoScheduler{}
}

// markUnresponsive notes a host that did not reply or does not schedule. Other hosts are preferred to it for unresponsiveTime.
func (n *Node) markUnresponsive(service string, h Host) {
	n.mutex.Lock()
	n.unresponsive[h.Address] = n.options.Clock() + unresponsiveTime
	n.mutex.Unlock()
	if n.options.OnUnresponsive != nil {
		n.options.OnUnresponsive(service, h.Name, true)
	}
}

// setHint records the time until a subset should have a free slot. The mutex must not be held.
func (n *Node) setHint(sub Subset, after time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.hints[sub] = hint{after: after, at: n.options.Clock()}
}

// acquireFromHost asks one host for a slot. While the request is queued there it sends the slot request again every pollPeriod.
// It returns ErrNoScheduler if the host does not reply or schedules no slots.
func (n *Node) acquireFromHost(ctx context.Context, h Host, sub Subset, request SlotRequest) (s *Slot, err error) {
	submittedAt := n.options.Clock()
	expires := submittedAt + request.Timeout
	n.mutex.Lock()
	n.nextID++
	request.ID = n.nextID
	w := &pending{replies: make(chan Reply, 4)}
	n.pending[request.ID] = w
	n.mutex.Unlock()
	defer n.forget(request.ID)
	n.submit(h, sub, request)
	unanswered := 0
	timer := time.NewTimer(replyTimeouts[0])
	defer timer.Stop()
	for {
		select {
		case r := <-w.replies:
			unanswered = -1
			switch r.Decision {
			case Assigned:
				return &Slot{node: n, scheduler: h.Address, subset: sub, id: request.ID, Upstream: r.Upstream,
					permitEnd: r.permitEnd(submittedAt, n.options.Clock())}, nil
			case NotScheduling:
				return nil, &ErrNoScheduler{}
			case Queued:
				n.setHint(sub, r.After)
				timer.Reset(pollPeriod)
				continue
			}
			n.setHint(sub, r.After)
			return nil, &ErrRejected{Decision: r.Decision, After: r.After}
		case <-ctx.Done():
			n.sendResult(h.Address, sub, Result{ID: request.ID, Completion: Abandoned, Unsent: true})
			return nil, ctx.Err()
		case <-timer.C:
			if unanswered++; unanswered == len(replyTimeouts) {
				n.sendResult(h.Address, sub, Result{ID: request.ID, Completion: Abandoned, Unsent: true})
				return nil, &ErrNoScheduler{}
			}
			if unanswered > 0 {
				n.traffic.resent.Add(1)
			}
			request.Timeout = expires - n.options.Clock()
			n.submit(h, sub, request)
			timer.Reset(replyTimeouts[unanswered])
		}
	}
}

// submit passes a slot request to a host's scheduler, which may be this host's own.
func (n *Node) submit(h Host, subset Subset, request SlotRequest) {
	now := n.options.Clock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if h.Address == n.options.Self.Address {
		if !n.options.CanSchedule() {
			n.sendReplies(subset, []addressedReply{{Key{Host: h.Address, ID: request.ID}, Reply{ID: request.ID, Decision: NotScheduling}}})
			return
		}
		n.sendReplies(subset, n.scheduler(now, subset).Submit(now, h.Address, request))
		n.scheduleTick()
		return
	}
	n.send(h.Address, subset, func(p *packet) { p.Requests = append(p.Requests, request) })
}

func (n *Node) forget(id uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.pending, id)
}

// sendResult reports a result to a scheduler, which may be this host's own. Results to other hosts are sent until acknowledged.
func (n *Node) sendResult(scheduler string, subset Subset, r Result) {
	now := n.options.Clock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if scheduler == n.options.Self.Address {
		n.sendReplies(subset, n.scheduler(now, subset).Finish(now, scheduler, r))
		return
	}
	n.scheduleTick()
	n.unacked[r.ID] = &unacked{to: scheduler, subset: subset, result: r, at: now}
	n.sendDelayed(scheduler, subset, resultDelay, func(p *packet) { p.Results = append(p.Results, r) })
}

// Finish releases the slot and reports the outcome of its request to the scheduler.
func (s *Slot) Finish(r Result) {
	r.ID, r.Unsent = s.id, !s.sent
	s.node.sendResult(s.scheduler, s.subset, r)
}
