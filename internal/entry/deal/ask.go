package deal

import (
	"context"
	"time"
)

// Slot is a slot that a dealer gave out.
type Slot struct {
	office   *Office
	dealer   string
	service  string
	id       uint64
	Upstream uint32
}

// ErrRefused is returned when the dealer turns a request away; After is when a slot should be free.
type ErrRefused struct {
	Verdict Verdict
	After   time.Duration
}

// Error returns the message.
func (e *ErrRefused) Error() string { return "no slot in time" }

// Request asks for a slot and waits for it. Without a dealer that answers it returns ErrNoDealer.
func (o *Office) Request(ctx context.Context, a Ask) (s *Slot, err error) {
	if o.conn == nil {
		return nil, &ErrNoDealer{}
	}
	o.mutex.Lock()
	dealers := o.dealers(o.options.Clock(), a.Service)
	o.mutex.Unlock()
	for i, h := range dealers {
		if i >= dealersTried {
			break
		}
		s, err = o.requestAt(ctx, h, a)
		if _, none := err.(*ErrNoDealer); !none {
			return s, err
		}
		o.passOver(a.Service, h)
	}
	return nil, &ErrNoDealer{}
}

// passOver notes that a dealer said nothing.
func (o *Office) passOver(service string, h Host) {
	o.mutex.Lock()
	o.silent[h.Address] = o.options.Clock() + silentTime
	o.mutex.Unlock()
	if o.options.Changed != nil {
		o.options.Changed(service, h.Name, true)
	}
}

// requestAt asks one dealer, again and again while the request waits there.
func (o *Office) requestAt(ctx context.Context, h Host, a Ask) (s *Slot, err error) {
	expires := o.options.Clock() + a.Left
	o.mutex.Lock()
	o.nextID++
	a.ID = o.nextID
	w := &pending{replies: make(chan Reply, 4)}
	o.pending[a.ID] = w
	o.mutex.Unlock()
	defer o.forget(a.ID)
	o.post(h, a)
	heard, asked := o.options.Clock(), firstResend
	timer := time.NewTimer(asked)
	defer timer.Stop()
	for {
		select {
		case r := <-w.replies:
			heard = o.options.Clock()
			switch r.Verdict {
			case Go:
				return &Slot{office: o, dealer: h.Address, service: a.Service, id: a.ID, Upstream: r.Upstream}, nil
			case Elsewhere:
				return nil, &ErrNoDealer{}
			case Wait:
				asked = askPeriod
				timer.Reset(asked)
				continue
			}
			return nil, &ErrRefused{Verdict: r.Verdict, After: r.After}
		case <-ctx.Done():
			o.finish(h.Address, a.Service, Result{ID: a.ID, Fate: Abandoned})
			return nil, ctx.Err()
		case <-timer.C:
			now := o.options.Clock()
			if now-heard > dealerPeriod+asked {
				o.finish(h.Address, a.Service, Result{ID: a.ID, Fate: Abandoned})
				return nil, &ErrNoDealer{}
			}
			a.Left = expires - now
			o.post(h, a)
			timer.Reset(asked)
		}
	}
}

// post brings an ask to a dealer, which may be this host.
func (o *Office) post(h Host, a Ask) {
	now := o.options.Clock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if h.Address == o.options.Self.Address {
		if !o.options.Fit() {
			o.deliver(a.Service, []addressed{{Key{Host: h.Address, ID: a.ID}, Reply{ID: a.ID, Verdict: Elsewhere}}})
			return
		}
		o.deliver(a.Service, o.desk(now, a.Service).Offer(now, h.Address, a))
		return
	}
	o.send(h.Address, a.Service, func(p *packet) { p.Asks = append(p.Asks, a) })
}

func (o *Office) forget(id uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.pending, id)
}

// finish brings a result to a dealer.
func (o *Office) finish(dealer, service string, r Result) {
	now := o.options.Clock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if dealer == o.options.Self.Address {
		o.deliver(service, o.desk(now, service).Finish(now, dealer, r))
		return
	}
	o.unacked[r.ID] = &unacked{to: dealer, service: service, result: r, at: now}
	o.later(dealer, service, resultDelay, func(p *packet) { p.Results = append(p.Results, r) })
}

// Finish gives the slot back with how the request fared.
func (s *Slot) Finish(r Result) {
	r.ID = s.id
	s.office.finish(s.dealer, s.service, r)
}
