package group

import (
	"context"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Periods and limits of forwarding.
const (
	forwardPeriod = 15 * time.Millisecond // shortest time between two calls to the leader
	callLateTime  = 30 * time.Millisecond // a call that is not answered within this time is repeated
	maxForwarded  = 4096
)

// forwarder sends the renewals that a follower receives to the leader, in batches. Each answer carries the leader's commit
// index, by which the follower confirms that it is up to date. Calls are at least forwardPeriod apart. Normally one call is
// in flight; if it is late, a second call sends its renewals again, so that a stalled connection or a lost message does not
// delay them.
type forwarder struct {
	leader      raft.ReplicaID
	waiting     []*forwardedRenewal
	calls       []*leaderCall
	sentAt      time.Duration
	confirmFrom time.Duration
	confirmed   confirmation
}

// forwardedRenewal is a renewal that waits for the leader's answer. It may be sent twice; only the first answer is used.
type forwardedRenewal struct {
	renewal  *table.Renewal
	since    time.Duration
	answer   func(*table.RenewalResponse, error)
	answered bool
	sent     bool
}

// complete passes the result to the caller unless that was done before.
func (f *forwardedRenewal) complete(answer *table.RenewalResponse, err error) {
	if !f.answered {
		f.answered = true
		f.answer(answer, err)
	}
}

// nextSend returns the renewal to send, with the time that it waited here added to the age of its announcements. Load
// counts are included only in the first send, as the leader would otherwise count them twice.
func (f *forwardedRenewal) nextSend(now time.Duration) (r table.Renewal) {
	r = *f.renewal
	r.Announcements = table.AddAge(r.Announcements, now-f.since)
	if f.sent {
		r.Period, r.Slices, r.Keys, r.UpstreamStats = 0, nil, nil, nil
	}
	f.sent = true
	return r
}

// leaderCall is one call to the leader in flight.
type leaderCall struct {
	renewals []*forwardedRenewal
}

// due reports whether a call to the leader should be made now.
func (f *forwarder) due(now time.Duration) bool {
	since := now - f.sentAt
	switch len(f.calls) {
	case 0:
		wanted := len(f.waiting) > 0 || f.confirmFrom > f.confirmed.askedAt
		return wanted && since >= forwardPeriod
	case 1:
		return since >= callLateTime
	}
	return false
}

// switchLeader abandons the calls to an earlier leader; their renewals are forwarded to the new one.
func (f *forwarder) switchLeader(leader raft.ReplicaID) {
	if f.leader == leader {
		return
	}
	f.waiting = f.takePending()
	f.leader, f.calls = leader, nil
}

// takePending returns the renewals for the next call: those that wait, and the unanswered ones of calls in flight.
func (f *forwarder) takePending() (list []*forwardedRenewal) {
	list, f.waiting = f.waiting, nil
	for _, call := range f.calls {
		for _, w := range call.renewals {
			if !w.answered {
				list = append(list, w)
			}
		}
	}
	return list
}

// confirmation records that a leader called at askedAt answered that entries up to index were committed. Everything that was
// committed before askedAt is included.
type confirmation struct {
	askedAt time.Duration
	index   uint64
}

// followsLeader reports whether this host is a follower and knows the leader's address.
func (g *Group) followsLeader() bool {
	return g.core != nil && g.core.Role() != raft.Leader && g.leaderAddress() != ""
}

func (g *Group) leaderAddress() string {
	r, _ := g.core.Members().Find(g.core.LeaderID())
	return r.Address
}

// renew renews the leases of an entry host and of the upstreams whose announcements it passes on. A follower forwards the
// renewal to the leader.
func (g *Group) renew(ctx context.Context, r *table.Renewal) (*table.RenewalResponse, error) {
	ended := make(chan renewalResult, 1)
	end := func(answer *table.RenewalResponse, err error) { ended <- renewalResult{answer: answer, err: err} }
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

// renewalResult is the result of a renewal.
type renewalResult struct {
	answer *table.RenewalResponse
	err    error
}

// renewOrForward answers a renewal as the leader, or queues it for forwarding. A full queue is answered with a redirect to
// the leader.
func (g *Group) renewOrForward(r *table.Renewal, answer func(*table.RenewalResponse, error)) {
	if !g.followsLeader() || len(g.forwarder.waiting) >= maxForwarded {
		answer(g.renewInLoop(r))
		return
	}
	g.forwarder.waiting = append(g.forwarder.waiting, &forwardedRenewal{renewal: r, since: g.now(), answer: answer})
}

// renewMany answers a batch of renewals that another control host forwarded. It fails if this host is not the leader;
// nothing is forwarded again.
func (g *Group) renewMany(ctx context.Context, b *table.RenewalBatch) (answer *table.RenewalBatchResponse, err error) {
	doErr := g.do(ctx, func() { answer, err = g.renewManyInLoop(b) })
	if doErr != nil {
		return nil, doErr
	}
	return answer, err
}

func (g *Group) renewManyInLoop(b *table.RenewalBatch) (answer *table.RenewalBatchResponse, err error) {
	if _, err = g.servingLeader(); err != nil {
		return nil, err
	}
	answer = &table.RenewalBatchResponse{Commit: g.core.CommitIndex()}
	for i := range b.Renewals {
		a, err := g.renewInLoop(&b.Renewals[i])
		if err != nil {
			return nil, err
		}
		answer.Responses = append(answer.Responses, *a)
	}
	if _, err = g.servingLeader(); err != nil {
		return nil, err
	}
	return answer, nil
}

// forwardPending calls the leader with the pending renewals if a call is due.
func (g *Group) forwardPending() {
	f := &g.forwarder
	if !g.followsLeader() {
		g.stopForwarding()
		return
	}
	f.switchLeader(g.core.LeaderID())
	now := g.now()
	if !f.due(now) {
		return
	}
	call := &leaderCall{renewals: f.takePending()}
	f.calls, f.sentAt = append(f.calls, call), now
	b := &table.RenewalBatch{}
	for _, w := range call.renewals {
		b.Renewals = append(b.Renewals, w.nextSend(now))
	}
	g.peers.forward(g.leaderAddress(), b, func(answer *table.RenewalBatchResponse, err error) { g.handleForwardAnswer(call, now, answer, err) })
}

// handleForwardAnswer passes the leader's answers to the waiting callers; it runs in the loop. If the call failed, its
// renewals fail too, unless another call in flight includes them.
func (g *Group) handleForwardAnswer(call *leaderCall, sentAt time.Duration, answer *table.RenewalBatchResponse, err error) {
	f := &g.forwarder
	current := slices.Contains(f.calls, call)
	f.calls = slices.DeleteFunc(f.calls, func(o *leaderCall) bool { return o == call })
	if err != nil || len(answer.Responses) != len(call.renewals) {
		if current && len(f.calls) == 0 {
			g.failRenewals(call.renewals)
		}
		return
	}
	if sentAt > f.confirmed.askedAt {
		f.confirmed = confirmation{askedAt: sentAt, index: max(answer.Commit, f.confirmed.index)}
	}
	for i, w := range call.renewals {
		w.complete(&answer.Responses[i], nil)
	}
}

// stopForwarding completes the pending renewals when this host no longer follows a known leader: it answers them if this
// host is now the leader, and fails them otherwise.
func (g *Group) stopForwarding() {
	g.forwarder.switchLeader(0)
	list := g.forwarder.takePending()
	for _, w := range list {
		w.complete(g.renewInLoop(w.renewal))
	}
	wake(&g.watchers.confirmations)
}

// failRenewals answers renewals with an error that redirects to the leader.
func (g *Group) failRenewals(list []*forwardedRenewal) {
	for _, w := range list {
		w.complete(nil, g.notLeading())
	}
}
