package sched

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Times and bounds of messages between entry hosts.
const (
	askPeriod    = 200 * time.Millisecond  // a request that waits asks again this often, in case the dealer has gone
	silentTime   = 1500 * time.Millisecond // a dealer that said nothing is passed over for so long, about the time until control misses it
	tickPeriod   = 15 * time.Millisecond   // those who cannot be served in time are told so within this, a tenth of a short request
	resultResend = 140 * time.Millisecond  // a result is sent again after the delay of its confirmation and the way, with room
	resultTries  = 4                       // then the dealer frees the slot by the request's own time
	dealersTried = 2                       // hosts asked for one part; the request's time is short
	mostSilent   = 4                       // so many silent dealers at once tell that this host's own link is at fault
)

// resendPauses are how long an ask waits for a reply before it is sent again; a dealer that says nothing after the last is passed
// over. They grow, as on a link that is full each datagram more makes it worse.
var resendPauses = [...]time.Duration{25 * time.Millisecond, 50 * time.Millisecond, 85 * time.Millisecond}

// ErrNoScheduler is returned when no dealer answers; the caller decides alone.
type ErrNoScheduler struct{}

// Error returns the message.
func (e *ErrNoScheduler) Error() string { return "no dealer answers" }

// Host is an entry host that may deal.
type Host struct {
	Name       string
	Address    string
	DataCentre string
}

// Options describe an entry host's office. Hosts and Upstreams return what the table says now. Changed hears when a dealer is
// passed over.
type Options struct {
	Self      Host
	Hosts     func() []Host
	Upstreams func(service string) []Upstream
	Retries   retry.Limits
	Clock     clock.Clock
	// Fit reports whether this host knows the table well enough to deal.
	CanSchedule    func() bool
	OnUnresponsive func(service, dealer string, silent bool)
}

// pending is an ask of this host that waits for replies.
type pending struct {
	replies chan Reply
}

// unacked is a result that its dealer has not confirmed.
type unacked struct {
	to     string
	part   Subset
	result Result
	at     time.Duration
	tries  int
}

// Node asks dealers for slots and deals itself where it is asked.
type Node struct {
	options Options
	conn    *net.UDPConn
	mutex   sync.Mutex
	desks   map[Subset]*Scheduler
	pending map[uint64]*pending
	unacked map[uint64]*unacked
	silent  map[string]time.Duration
	traffic traffic
	late    map[outKey]*packet
	hints   map[Subset]hint
	nextID  uint64
}

// New returns an office that is not connected yet.
func New(o Options) *Node {
	return &Node{options: o, desks: map[Subset]*Scheduler{}, hints: map[Subset]hint{}, pending: map[uint64]*pending{}, unacked: map[uint64]*unacked{},
		silent: map[string]time.Duration{}, late: map[outKey]*packet{}, nextID: rand.Uint64() >> 16}
}

// Listen opens the host's address for datagrams.
func (o *Node) Listen() (err error) {
	defer func() { err = errors.WithMessage(err, "listen for entry hosts") }()
	address, err := net.ResolveUDPAddr("udp", o.options.Self.Address)
	if err != nil {
		return err
	}
	o.conn, err = net.ListenUDP("udp", address)
	return err
}

// Run serves until the context ends.
func (o *Node) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = o.conn.Close() })
	defer stop()
	go o.tick(ctx)
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := o.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue // a refused datagram of before is told here; the next read goes on
		}
		var p packet
		if wire.Unmarshal(buffer[:n], &p) != nil {
			continue // not one of ours
		}
		o.take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), &p)
	}
}

// take handles one datagram.
func (o *Node) take(from string, p *packet) {
	now := o.options.Clock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, id := range p.Acks {
		delete(o.unacked, id)
	}
	for _, r := range p.Replies {
		o.hand(r)
	}
	if len(p.Asks)+len(p.Results) == 0 {
		return
	}
	var replies []addressed
	desk := o.desk(now, p.Part)
	for _, r := range p.Results {
		replies = append(replies, desk.Finish(now, from, r)...)
		o.later(from, p.Part, ackDelay, func(q *packet) { q.Acks = append(q.Acks, r.ID) })
	}
	for _, a := range p.Asks {
		if !o.options.CanSchedule() {
			replies = append(replies, addressed{Key{Host: from, ID: a.ID}, Reply{ID: a.ID, Decision: NotScheduling}})
			continue
		}
		replies = append(replies, desk.Submit(now, from, a)...)
	}
	o.deliver(p.Part, replies)
}

// desk returns the desk of a part with its upstreams as the table has them; the mutex must be held.
func (o *Node) desk(now time.Duration, p Subset) *Scheduler {
	d := o.desks[p]
	if d == nil {
		d = NewScheduler(o.options.Retries)
		o.follow(now, p, d)
		o.desks[p] = d
	}
	return d
}

// follow brings a desk in line with the table.
func (o *Node) follow(now time.Duration, p Subset, d *Scheduler) []addressed {
	list := o.options.Upstreams(p.Service)
	division := NewSubsets(p.Service, list)
	return d.SetUpstreams(now, division.Members(p, list), 1/float64(max(division.Count(), 1)))
}

// hand gives a reply to the request of this host that waits for it; the mutex must be held.
func (o *Node) hand(r Reply) {
	w := o.pending[r.ID]
	if w == nil {
		return
	}
	select {
	case w.replies <- r:
	default: // it has replies enough that it has not read yet
	}
}

// deliver brings replies to their askers, here or elsewhere; the mutex must be held.
func (o *Node) deliver(part Subset, replies []addressed) {
	byHost := map[string][]Reply{}
	for _, a := range replies {
		if a.key.Host == o.options.Self.Address {
			o.hand(a.reply)
			continue
		}
		byHost[a.key.Host] = append(byHost[a.key.Host], a.reply)
	}
	for host, list := range byHost {
		o.send(host, part, func(p *packet) { p.Replies = list })
	}
}

// tick runs the desks' clocks and sends unconfirmed results again.
func (o *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.tickOnce()
		}
	}
}

func (o *Node) tickOnce() {
	now := o.options.Clock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for part, d := range o.desks {
		if busy, waiting := d.Load(); busy+waiting > 0 {
			o.deliver(part, d.Tick(now))
		}
	}
	for id, u := range o.unacked {
		if now-u.at < resultResend {
			continue
		}
		if u.tries++; u.tries >= resultTries {
			delete(o.unacked, id)
			continue
		}
		u.at = now
		o.later(u.to, u.part, resultDelay, func(p *packet) { p.Results = append(p.Results, u.result) })
	}
}

// Load returns the slots that this host has dealt and the requests that wait here.
func (o *Node) Load() (busy, waiting int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, d := range o.desks {
		b, w := d.Load()
		busy, waiting = busy+b, waiting+w
	}
	return busy, waiting
}

// Update brings all desks in line with the table.
func (o *Node) Update() {
	now := o.options.Clock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for part, d := range o.desks {
		o.deliver(part, o.follow(now, part, d))
		if d.Idle() {
			delete(o.desks, part)
		}
	}
	for address, until := range o.silent {
		if now >= until {
			delete(o.silent, address)
		}
	}
	for part, h := range o.hints {
		if now-h.at > hintLife {
			delete(o.hints, part)
		}
	}
}
