package sched

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// Slot is a slot that a dealer gave out.
type Slot struct {
	office   *Node
	dealer   string
	part     Subset
	id       uint64
	Upstream uint32
}

// ErrRejected is returned when the dealer turns a request away; After is when a slot should be free.
type ErrRejected struct {
	Decision Decision
	After    time.Duration
}

// Error returns the message.
func (e *ErrRejected) Error() string { return "no slot in time" }

// partsTried is how many parts of a service a request looks for a free slot in before it queues.
const partsTried = 3

// Acquire asks for a slot of a service and waits for it. Without a dealer that answers it returns ErrNoDealer.
func (o *Node) Acquire(ctx context.Context, service string, a SlotRequest) (s *Slot, err error) {
	list := o.options.Upstreams(service)
	division := NewSubsets(service, list)
	expires := o.options.Clock() + a.Timeout
	if a.Upstream != 0 {
		i := slices.IndexFunc(list, func(u Upstream) bool { return u.Number == a.Upstream })
		if i < 0 {
			return nil, &ErrNoScheduler{}
		}
		return o.requestOf(ctx, division.Of(list[i]), a)
	}
	parts := division.order(list, a.DataCentre, a.Exclude, o.hinted, rand.Float64)
	if len(parts) == 0 {
		return nil, &ErrRejected{Decision: NoUpstream}
	}
	asked := 0
	for len(parts) > 1 && asked < min(partsTried, len(parts)) && o.hinted(parts[asked]) == 0 {
		s, err = o.requestOf(ctx, parts[asked], division.forPart(parts[asked], a, list, expires-o.options.Clock(), true))
		if !goesOn(err) {
			return s, err
		}
		asked++
	}
	for _, p := range o.patient(parts) {
		s, err = o.requestOf(ctx, p, division.forPart(p, a, list, expires-o.options.Clock(), false))
		if _, none := err.(*ErrNoScheduler); !none {
			return s, err
		}
	}
	return nil, &ErrNoScheduler{}
}

// goesOn reports whether another part of the service is to be asked.
func goesOn(err error) bool {
	switch e := err.(type) {
	case *ErrNoScheduler:
		return true
	case *ErrRejected:
		return e.Decision == Busy || e.Decision == NoUpstream
	}
	return false
}

// patient returns the parts in which to queue: the one said to have a free slot first, and another in case nobody deals there.
func (o *Node) patient(parts []Subset) []Subset {
	slices.SortStableFunc(parts, func(a, b Subset) int { return cmp.Compare(o.hinted(a), o.hinted(b)) })
	return parts[:min(len(parts), dealersTried)]
}

// hinted returns when a part should have a free slot, as far as is known; zero is at once.
func (o *Node) hinted(p Subset) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.hints[p].wait(o.options.Clock())
}

// requestOf asks the dealer of a part, and the next host if that one says nothing.
func (o *Node) requestOf(ctx context.Context, p Subset, a SlotRequest) (s *Slot, err error) {
	if o.conn == nil {
		return nil, &ErrNoScheduler{}
	}
	o.mutex.Lock()
	dealers := o.dealers(o.options.Clock(), p)
	o.mutex.Unlock()
	for _, h := range dealers {
		s, err = o.requestAt(ctx, h, p, a)
		if _, none := err.(*ErrNoScheduler); !none {
			return s, err
		}
		o.passOver(p.Service, h)
		if a.NoQueue {
			break // another part may answer at once
		}
	}
	return nil, &ErrNoScheduler{}
}

// passOver notes that a dealer said nothing.
func (o *Node) passOver(service string, h Host) {
	o.mutex.Lock()
	o.silent[h.Address] = o.options.Clock() + silentTime
	o.mutex.Unlock()
	if o.options.OnUnresponsive != nil {
		o.options.OnUnresponsive(service, h.Name, true)
	}
}

// hint notes when a part should have a free slot; the mutex must not be held.
func (o *Node) hint(p Subset, after time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.hints[p] = hint{after: after, at: o.options.Clock()}
}

// requestAt asks one dealer, again and again while the request waits there.
func (o *Node) requestAt(ctx context.Context, h Host, p Subset, a SlotRequest) (s *Slot, err error) {
	expires := o.options.Clock() + a.Timeout
	o.mutex.Lock()
	o.nextID++
	a.ID = o.nextID
	w := &pending{replies: make(chan Reply, 4)}
	o.pending[a.ID] = w
	o.mutex.Unlock()
	defer o.forget(a.ID)
	o.post(h, p, a)
	unheard := 0
	timer := time.NewTimer(resendPauses[0])
	defer timer.Stop()
	for {
		select {
		case r := <-w.replies:
			unheard = -1
			switch r.Decision {
			case Assigned:
				return &Slot{office: o, dealer: h.Address, part: p, id: a.ID, Upstream: r.Upstream}, nil
			case NotScheduling:
				return nil, &ErrNoScheduler{}
			case Queued:
				o.hint(p, r.After)
				timer.Reset(askPeriod)
				continue
			}
			o.hint(p, r.After)
			return nil, &ErrRejected{Decision: r.Decision, After: r.After}
		case <-ctx.Done():
			o.finish(h.Address, p, Result{ID: a.ID, Completion: Abandoned})
			return nil, ctx.Err()
		case <-timer.C:
			if unheard++; unheard == len(resendPauses) {
				o.finish(h.Address, p, Result{ID: a.ID, Completion: Abandoned})
				return nil, &ErrNoScheduler{}
			}
			if unheard > 0 {
				o.traffic.resent.Add(1)
			}
			a.Timeout = expires - o.options.Clock()
			o.post(h, p, a)
			timer.Reset(resendPauses[unheard])
		}
	}
}

// post brings an ask to a dealer, which may be this host.
func (o *Node) post(h Host, part Subset, a SlotRequest) {
	now := o.options.Clock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if h.Address == o.options.Self.Address {
		if !o.options.CanSchedule() {
			o.deliver(part, []addressed{{Key{Host: h.Address, ID: a.ID}, Reply{ID: a.ID, Decision: NotScheduling}}})
			return
		}
		o.deliver(part, o.desk(now, part).Submit(now, h.Address, a))
		return
	}
	o.send(h.Address, part, func(p *packet) { p.Asks = append(p.Asks, a) })
}

func (o *Node) forget(id uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.pending, id)
}

// finish brings a result to a dealer.
func (o *Node) finish(dealer string, part Subset, r Result) {
	now := o.options.Clock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if dealer == o.options.Self.Address {
		o.deliver(part, o.desk(now, part).Finish(now, dealer, r))
		return
	}
	o.unacked[r.ID] = &unacked{to: dealer, part: part, result: r, at: now}
	o.later(dealer, part, resultDelay, func(p *packet) { p.Results = append(p.Results, r) })
}

// Finish gives the slot back with how the request fared.
func (s *Slot) Finish(r Result) {
	r.ID = s.id
	s.office.finish(s.dealer, s.part, r)
}
