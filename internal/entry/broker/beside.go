package broker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/conns"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Times of looking for another upstream beside a first try.
const (
	lastLookShare = 0.8                    // part of the time left after which another try would come too late
	lookPause     = 150 * time.Millisecond // about the time in which a slot becomes free
)

// errGaveWay is the cause where a try ended as another upstream has a slot for the request.
var errGaveWay = errors.New("no answer in the first try's part of the time")

// exchanged is what came of sending a request once.
type exchanged struct {
	answer *conns.Response
	err    error
}

// send sends the request and returns the answer. A first try that may be repeated gives way once it has had its part of the time
// and another upstream has a slot; where there is none it goes on, as its upstream may still answer. The bounds of a try hold until its
// answer begins, which has to come whole before a stop is over.
func (j *job) send(ctx context.Context, bounds *retry.Bounds, u table.Upstream, left time.Duration) (*conns.Response, error) {
	call := j.call(u, left)
	begun, noteBegun := context.WithCancel(ctx)
	comes := func() bool { return false }
	call.OnHeader = func() {
		if bounds.Disarm() {
			comes = context.AfterFunc(j.broker.mayCome, func() { bounds.End(retry.ErrStopping) })
		}
		noteBegun()
	}
	exchange := func() exchanged {
		defer noteBegun()
		a, err := j.broker.pool.Do(ctx, call)
		return exchanged{answer: a, err: err}
	}
	r := j.besideOthers(begun, bounds, u, left, exchange)
	if came := comes(); r.err == nil && r.answer.Rest != nil && (!came || ctx.Err() != nil) {
		r.answer.Finish(false)
		bounds.End(retry.ErrStopping)
		return nil, &conns.ErrNoResponse{Cause: context.Cause(ctx)}
	}
	return r.answer, r.err
}

// besideOthers does the exchange of a try; a first one that may be repeated looks for another upstream meanwhile.
func (j *job) besideOthers(begun context.Context, bounds *retry.Bounds, u table.Upstream, left time.Duration, exchange func() exchanged) exchanged {
	part := j.firstTry(left)
	if part == 0 {
		return exchange()
	}
	result := make(chan exchanged, 1)
	go func() { result <- exchange() }()
	if j.lookBeside(begun, u, part, left) {
		bounds.End(errGaveWay)
	}
	return <-result
}

// firstTry returns the part of the time that a first try has for itself, zero where it has all of it. A stop leaves no time for
// another one.
func (j *job) firstTry(left time.Duration) time.Duration {
	if !j.idempotent() || j.keyed || j.attempts > 0 || j.match.Route.MaxAttempts < 2 {
		return 0
	}
	return max(time.Duration(firstTryShare*float64(left)), j.match.Route.Objective)
}

// lookBeside waits until a try has had its part of the time left and then looks for another upstream, again and again while another
// try has time enough. The context ends with the try, whose answer ends the search.
func (j *job) lookBeside(ctx context.Context, u table.Upstream, part, left time.Duration) (found bool) {
	last := j.broker.options.Clock() + time.Duration(lastLookShare*float64(left))
	for pause := part; j.broker.options.Clock()+pause <= last; pause = lookPause {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
		if j.reserveBeside(ctx, u) {
			return ctx.Err() == nil
		}
	}
	return false
}

// reserveBeside reserves an upstream with a free slot for a request whose try at another one is under way. Only a dealer's slot is
// sure; where no dealer answers, or the host begins to stop meanwhile, the try goes on.
func (j *job) reserveBeside(ctx context.Context, u table.Upstream) bool {
	if j.broker.isStopping() || !j.allowed() {
		return false
	}
	j.avoid(u)
	s, err := j.ask(ctx, 0, true)
	if err == nil {
		j.next = &s
	}
	if err == nil && !j.broker.isStopping() {
		return true
	}
	j.leaveNext()
	j.giveBack()
	return false
}

// leaveNext gives back the slot of an upstream that was reserved and is not needed.
func (j *job) leaveNext() {
	if j.next != nil {
		j.next.slot.Finish(sched.Result{Completion: sched.Abandoned})
	}
	j.next = nil
}
