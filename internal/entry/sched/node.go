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

// Timing and limits of the messages between entry hosts.
const (
	pollPeriod        = 200 * time.Millisecond  // interval at which a queued request is sent again, to notice a scheduler that has failed
	unresponsiveTime  = 1500 * time.Millisecond // how long an unresponsive host is avoided; control takes about as long to detect a failed host
	tickPeriod        = 15 * time.Millisecond   // interval of checks for requests that cannot be served in time; a tenth of a short request
	slowTickPeriod    = 70 * time.Millisecond   // interval while no request is queued; half of resultResendDelay
	resultResendDelay = 140 * time.Millisecond  // covers ackDelay and the round trip, with a margin
	maxResultSends    = 4                       // after the last, the scheduler releases the slot once the request has expired
	maxHostsTried     = 2                       // hosts asked per subset, and subsets tried for queueing; few, because time is short
	maxUnresponsive   = 4                       // number of unresponsive hosts at which this host's own link is presumed faulty
)

// replyTimeouts are the times to wait for a reply before a slot request is sent again. After the last one the host counts as
// unresponsive. They grow because on a saturated link every further datagram makes the congestion worse.
var replyTimeouts = [...]time.Duration{25 * time.Millisecond, 50 * time.Millisecond, 85 * time.Millisecond}

// ErrNoScheduler is returned when no scheduler replies. The entry host then chooses an upstream by itself.
type ErrNoScheduler struct{}

// Error returns the message.
func (e *ErrNoScheduler) Error() string { return "no scheduler replied" }

// Host is an entry host that can act as scheduler. Capacity is its capacity relative to that of the largest host.
type Host struct {
	Name       string
	Address    string
	DataCentre string
	Capacity   float64
}

// Options configure a node. Hosts and Upstreams return the current content of the routing table. OnUnresponsive, if set, is
// called when a scheduler becomes unresponsive, OnEvicted when a waiting request is evicted; the latter must not call the node.
type Options struct {
	Self      Host
	Hosts     func() []Host
	Upstreams func(service string) []Upstream
	Retries   retry.Limits
	Clock     clock.Clock
	// RemoteDelay is how much longer a request may wait in its own data centre than in another one.
	RemoteDelay time.Duration
	// CanSchedule reports whether this host's routing table is recent enough to schedule by.
	CanSchedule    func() bool
	OnUnresponsive func(service, scheduler string, unresponsive bool)
	OnEvicted      func(service string, e Eviction)
}

// pending is a slot request of this host that waits for replies.
type pending struct {
	replies chan Reply
}

// unacked is a result that the scheduler has not acknowledged.
type unacked struct {
	to     string
	subset Subset
	result Result
	at     time.Duration
	sends  int
}

// Node is an entry host's endpoint of the scheduling protocol. It requests slots from the schedulers on other hosts and on its
// own, and runs the schedulers of the subsets for which other hosts ask it. It is safe for concurrent use.
type Node struct {
	options      Options
	conn         *net.UDPConn
	mutex        sync.Mutex
	schedulers   map[Subset]*Scheduler
	pending      map[uint64]*pending
	unacked      map[uint64]*unacked
	unresponsive map[string]time.Duration
	traffic      traffic
	evicted      evictedCounts
	delayed      map[destination]*packet
	hints        map[Subset]hint
	nextID       uint64
	permits      permitCounts
	// directories and ranked are derived from the routing table, as of the last call of Update.
	directories map[string]*directory
	ranked      map[Subset][]Host
	// rankedOf is the list of hosts that ranked was made from.
	rankedOf []Host
	// tickSoon is set while the next tick is due within tickPeriod; otherwise tickWake makes it so.
	tickSoon bool
	tickWake chan struct{}
}

// New returns a node that does not listen yet.
func New(o Options) *Node {
	return &Node{options: o, schedulers: map[Subset]*Scheduler{}, hints: map[Subset]hint{}, pending: map[uint64]*pending{}, unacked: map[uint64]*unacked{},
		unresponsive: map[string]time.Duration{}, delayed: map[destination]*packet{}, nextID: rand.Uint64() >> 16,
		directories: map[string]*directory{}, ranked: map[Subset][]Host{}, tickWake: make(chan struct{}, 1)}
}

// Listen opens the UDP socket on the host's address.
func (n *Node) Listen() (err error) {
	defer func() { err = errors.WithMessage(err, "listen for entry hosts") }()
	address, err := net.ResolveUDPAddr("udp", n.options.Self.Address)
	if err != nil {
		return err
	}
	n.conn, err = net.ListenUDP("udp", address)
	return err
}

// Run handles datagrams until the context ends. Listen must have been called before.
func (n *Node) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	go n.tick(ctx)
	buffer := make([]byte, 64<<10)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue // e.g. an ICMP error for a datagram that was sent earlier; later reads succeed
		}
		var p packet
		if wire.Unmarshal(buffer[:size], &p) != nil {
			continue // not a scheduling packet
		}
		n.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), &p)
	}
}

// handle processes one datagram.
func (n *Node) handle(from string, p *packet) {
	now := n.options.Clock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, id := range p.Acks {
		delete(n.unacked, id)
	}
	for _, r := range p.Replies {
		n.notify(r)
	}
	if len(p.Requests)+len(p.Results) == 0 {
		return
	}
	var replies []addressedReply
	scheduler := n.scheduler(now, p.Subset)
	for _, r := range p.Results {
		replies = append(replies, scheduler.Finish(now, from, r)...)
		n.sendDelayed(from, p.Subset, ackDelay, func(q *packet) { q.Acks = append(q.Acks, r.ID) })
	}
	for _, request := range p.Requests {
		if !n.options.CanSchedule() {
			replies = append(replies, addressedReply{Key{Host: from, ID: request.ID}, Reply{ID: request.ID, Decision: NotScheduling}})
			continue
		}
		replies = append(replies, scheduler.Submit(now, from, request)...)
	}
	n.sendReplies(p.Subset, replies)
	n.scheduleTick()
}

// scheduler returns the scheduler of a subset. If there is none yet, it makes one with the upstreams of the current table. The
// mutex must be held.
func (n *Node) scheduler(now time.Duration, sub Subset) *Scheduler {
	s := n.schedulers[sub]
	if s == nil {
		s = NewScheduler(n.options.Retries)
		s.permits = &n.permits
		n.setUpstreams(now, sub, s)
		n.schedulers[sub] = s
	}
	return s
}

// setUpstreams updates a scheduler to the upstreams of the current table.
func (n *Node) setUpstreams(now time.Duration, sub Subset, s *Scheduler) []addressedReply {
	d := n.directory(sub.Service)
	return s.SetUpstreams(now, d.members[sub], 1/float64(max(d.subsets.Count(), 1)))
}

// directory returns the directory of a service. The mutex must be held.
func (n *Node) directory(service string) *directory {
	d := n.directories[service]
	if d == nil {
		list := n.options.Upstreams(service)
		d = newDirectory(NewSubsets(service, list), list)
		n.directories[service] = d
	}
	return d
}

// directoryOf returns the directory of a service. The mutex must not be held.
func (n *Node) directoryOf(service string) *directory {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.directory(service)
}

// notify passes a reply to the request of this host that waits for it. The mutex must be held.
func (n *Node) notify(r Reply) {
	w := n.pending[r.ID]
	if w == nil {
		return
	}
	select {
	case w.replies <- r:
	default: // the request has unread replies; this one is dropped
	}
}

// sendReplies passes replies to the requests that they answer, on this host or others. The mutex must be held.
func (n *Node) sendReplies(subset Subset, replies []addressedReply) {
	n.reportEvictions(subset)
	byHost := map[string][]Reply{}
	for _, a := range replies {
		if a.key.Host == n.options.Self.Address {
			n.notify(a.reply)
			continue
		}
		byHost[a.key.Host] = append(byHost[a.key.Host], a.reply)
	}
	for host, list := range byHost {
		n.send(host, subset, func(p *packet) { p.Replies = list })
	}
}

// tick runs the periodic work until the context ends: every tickPeriod while requests are queued here, and less often otherwise.
func (n *Node) tick(ctx context.Context) {
	timer := time.NewTimer(slowTickPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.tickWake:
			timer.Reset(tickPeriod)
		case <-timer.C:
			timer.Reset(n.tickOnce())
		}
	}
}

// scheduleTick makes the next tick due soon if requests are queued here. The mutex must be held.
func (n *Node) scheduleTick() {
	if n.tickSoon || !n.hasQueued() {
		return
	}
	n.tickSoon = true
	select {
	case n.tickWake <- struct{}{}:
	default:
	}
}

// hasQueued reports whether a request is queued at a scheduler of this host. The mutex must be held.
func (n *Node) hasQueued() bool {
	for _, s := range n.schedulers {
		if _, waiting := s.Load(); waiting > 0 {
			return true
		}
	}
	return false
}

// tickOnce runs the periodic work of this host's schedulers and sends unacknowledged results again. It returns the time until the
// next tick.
func (n *Node) tickOnce() (next time.Duration) {
	now := n.options.Clock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for subset, s := range n.schedulers {
		if busy, waiting := s.Load(); busy+waiting > 0 {
			n.sendReplies(subset, s.Tick(now))
		}
	}
	n.resendResults(now)
	if n.tickSoon = n.hasQueued(); n.tickSoon {
		return tickPeriod
	}
	return slowTickPeriod
}

// resendResults sends unacknowledged results again. The mutex must be held.
func (n *Node) resendResults(now time.Duration) {
	for id, u := range n.unacked {
		if now-u.at < resultResendDelay {
			continue
		}
		if u.sends++; u.sends >= maxResultSends {
			delete(n.unacked, id)
			continue
		}
		u.at = now
		n.sendDelayed(u.to, u.subset, resultDelay, func(p *packet) { p.Results = append(p.Results, u.result) })
	}
}

// Load returns the number of slots that this host's schedulers have assigned and the number of requests in their queues.
func (n *Node) Load() (busy, waiting int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, s := range n.schedulers {
		b, w := s.Load()
		busy, waiting = busy+b, waiting+w
	}
	return busy, waiting
}

// Permits returns the number of permits for cold upstreams that this host's schedulers have granted, and of requests that waited for one.
func (n *Node) Permits() (granted, waited int64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.permits.granted, n.permits.waited
}

// Update updates all schedulers of this host to the current table and drops those with neither upstreams nor requests.
func (n *Node) Update() {
	now := n.options.Clock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.directories)
	n.updateRanking()
	for subset, s := range n.schedulers {
		n.sendReplies(subset, n.setUpstreams(now, subset, s))
		if s.Idle() {
			delete(n.schedulers, subset)
		}
	}
	for address, until := range n.unresponsive {
		if now >= until {
			delete(n.unresponsive, address)
		}
	}
	for subset, h := range n.hints {
		if now-h.at > hintTTL {
			delete(n.hints, subset)
		}
	}
}
