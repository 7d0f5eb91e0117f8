package group

import (
	"context"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Bounds of forwarding.
const (
	forwardGap   = 15 * time.Millisecond
	forwardLate  = 30 * time.Millisecond
	maxForwarded = 4096
)

// forwarder brings the renewals that reach a host which does not lead to the leader, many in one call, and learns with
// each answer what the leader has committed. Calls keep a gap, and one is under way as a rule; when it is late, a second
// one starts that forwards its renewals again, so that neither a silent connection nor a lost message holds them up.
type forwarder struct {
	leader    raft.ReplicaID
	waiting   []*forwarded
	calls     []*leaderCall
	sentAt    time.Duration
	wantedAt  time.Duration
	confirmed confirmation
}

// forwarded is a renewal with what its answer is for; the first answer counts.
type forwarded struct {
	renewal  *table.Renewal
	since    time.Duration
	answer   func(*table.RenewalResponse, error)
	answered bool
	sent     bool
}

func (c *forwarded) end(answer *table.RenewalResponse, err error) {
	if !c.answered {
		c.answered = true
		c.answer(answer, err)
	}
}

// next returns the renewal with the time that it was held here. Its load goes along once, as the leader would count it
// twice.
func (c *forwarded) next(now time.Duration) (r table.Renewal) {
	r = *c.renewal
	r.Announcements = table.AddAge(r.Announcements, now-c.since)
	if c.sent {
		r.Period, r.Slices, r.Keys, r.UpstreamStats = 0, nil, nil, nil
	}
	c.sent = true
	return r
}

// leaderCall is one call to the leader.
type leaderCall struct {
	list []*forwarded
}

// due reports whether a call to the leader is to be made now.
func (c *forwarder) due(now time.Duration) bool {
	since := now - c.sentAt
	switch len(c.calls) {
	case 0:
		wanted := len(c.waiting) > 0 || c.wantedAt > c.confirmed.askedAt
		return wanted && since >= forwardGap
	case 1:
		return since >= forwardLate
	}
	return false
}

// follow gives up the calls to an earlier leader; what they forward goes to the next.
func (c *forwarder) follow(leader raft.ReplicaID) {
	if c.leader == leader {
		return
	}
	c.waiting = c.load()
	c.leader, c.calls = leader, nil
}

// load returns what the next call forwards: what waits, and what a late call forwards and was not answered.
func (c *forwarder) load() (list []*forwarded) {
	list, c.waiting = c.waiting, nil
	for _, f := range c.calls {
		for _, w := range f.list {
			if !w.answered {
				list = append(list, w)
			}
		}
	}
	return list
}

// confirmation tells that all up to an index was committed when a call to the leader was made.
type confirmation struct {
	askedAt time.Duration
	index   uint64
}

// follows reports whether this host follows a leader that it knows.
func (g *Group) follows() bool {
	return g.core != nil && g.core.Role() != raft.Leader && g.leaderAddress() != ""
}

func (g *Group) leaderAddress() string {
	r, _ := g.core.Members().Find(g.core.LeaderID())
	return r.Address
}

// renew renews an entry host's lease and the leases of the upstreams that announced to it; a host that does not lead
// forwards the renewal to the leader.
func (g *Group) renew(ctx context.Context, r *table.Renewal) (*table.RenewalResponse, error) {
	ended := make(chan renewed, 1)
	end := func(answer *table.RenewalResponse, err error) { ended <- renewed{answer: answer, err: err} }
	if err := g.do(ctx, func() { g.renewOrForward(r, end) }); err != nil {
		return nil, err
	}
	select {
	case e := <-ended:
		return e.answer, e.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-g.done:
		return nil, g.stopped()
	}
}

// renewed is what became of a renewal.
type renewed struct {
	answer *table.RenewalResponse
	err    error
}

func (g *Group) renewOrForward(r *table.Renewal, answer func(*table.RenewalResponse, error)) {
	if !g.follows() || len(g.forwarder.waiting) >= maxForwarded {
		answer(g.renewNow(r))
		return
	}
	g.forwarder.waiting = append(g.forwarder.waiting, &forwarded{renewal: r, since: g.now(), answer: answer})
}

// renewMany answers renewals that another control host forwards, as the leader; none is forwarded on.
func (g *Group) renewMany(ctx context.Context, b *table.RenewalBatch) (answer *table.RenewalBatchResponse, err error) {
	doErr := g.do(ctx, func() { answer, err = g.renewManyNow(b) })
	if doErr != nil {
		return nil, doErr
	}
	return answer, err
}

func (g *Group) renewManyNow(b *table.RenewalBatch) (answer *table.RenewalBatchResponse, err error) {
	if _, err = g.leading(); err != nil {
		return nil, err
	}
	answer = &table.RenewalBatchResponse{Commit: g.core.CommitIndex()}
	for i := range b.Renewals {
		a, err := g.renewNow(&b.Renewals[i])
		if err != nil {
			return nil, err
		}
		answer.Responses = append(answer.Responses, *a)
	}
	if _, err = g.leading(); err != nil {
		return nil, err
	}
	return answer, nil
}

// forward sends what waits to the leader, where a call is due.
func (g *Group) forward() {
	c := &g.forwarder
	if !g.follows() {
		g.giveUpForwarding()
		return
	}
	c.follow(g.core.LeaderID())
	now := g.now()
	if !c.due(now) {
		return
	}
	f := &leaderCall{list: c.load()}
	c.calls, c.sentAt = append(c.calls, f), now
	b := &table.RenewalBatch{}
	for _, w := range f.list {
		b.Renewals = append(b.Renewals, w.next(now))
	}
	g.peers.forward(g.leaderAddress(), b, func(answer *table.RenewalBatchResponse, err error) { g.forwardAnswered(f, now, answer, err) })
}

// forwardAnswered passes the leader's answers on; it runs in the loop. A call that failed turns its renewals away unless
// another one forwards them still.
func (g *Group) forwardAnswered(f *leaderCall, sentAt time.Duration, answer *table.RenewalBatchResponse, err error) {
	c := &g.forwarder
	current := slices.Contains(c.calls, f)
	c.calls = slices.DeleteFunc(c.calls, func(o *leaderCall) bool { return o == f })
	if err != nil || len(answer.Responses) != len(f.list) {
		if current && len(c.calls) == 0 {
			g.refuse(f.list)
		}
		return
	}
	if sentAt > c.confirmed.askedAt {
		c.confirmed = confirmation{askedAt: sentAt, index: max(answer.Commit, c.confirmed.index)}
	}
	for i, w := range f.list {
		w.end(&answer.Responses[i], nil)
	}
}

// giveUpForwarding turns away what waits while there is no leader to forward it to, or answers it as the leader.
func (g *Group) giveUpForwarding() {
	g.forwarder.follow(0)
	list := g.forwarder.load()
	for _, w := range list {
		w.end(g.renewNow(w.renewal))
	}
	wake(&g.watchers.confirmations)
}

func (g *Group) refuse(list []*forwarded) {
	for _, w := range list {
		w.end(nil, g.notLeading())
	}
}
