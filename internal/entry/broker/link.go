package broker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/link"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
)

// awaitLink waits until the host's link has room for the request. It returns a response if the request is rejected instead.
func (j *job) awaitLink(ctx context.Context) (rejection *serve.Response) {
	b := j.broker
	objective := j.linkObjective()
	var err error
	if j.match.Route.Large {
		began := b.options.Clock()
		waiting, bounds := retry.Bound(ctx, 0, b.waitCtx)
		defer bounds.Cancel()
		j.transfer, err = b.options.Link.Begin(ctx, waiting, j.match.Name, j.arrived+objective, j.expires)
		j.waited += b.options.Clock() - began
		if err != nil && waiting.Err() != nil {
			return j.endedResponse(waiting)
		}
	} else {
		err = b.options.Link.Admit(j.match.Route.Priority, objective, b.controlSilence())
	}
	var busy *link.ErrBusy
	if errors.As(err, &busy) {
		return j.reject(ReasonLinkBusy, spreadReturn(busy.After))
	}
	return nil
}

// linkObjective returns the time within which the request should be answered: all that it has, if its route states no objective.
func (j *job) linkObjective() time.Duration {
	if j.match.Route.Objective > 0 {
		return j.match.Route.Objective
	}
	return j.expires - j.arrived
}

// controlSilence returns the time since control last responded to this host, zero if that is unknown.
func (b *Broker) controlSilence() time.Duration {
	if b.options.ControlSilence == nil {
		return 0
	}
	return b.options.ControlSilence()
}

// endTransfer releases the link once the response has been written, or at once if there is nothing to stream.
func (j *job) endTransfer(resp *serve.Response) *serve.Response {
	if j.transfer == nil {
		return resp
	}
	if resp == nil || resp.Rest == nil {
		j.transfer.Finish(resp != nil && resp.Status < minFailureStatus)
		return resp
	}
	done := resp.Done
	resp.Done = func(written bool) {
		if done != nil {
			done(written)
		}
		j.transfer.Finish(written)
	}
	return resp
}

// endOnPanic ends a request whose handler panics, which returns no response that would end it.
func (j *job) endOnPanic(cancel context.CancelFunc) {
	if !j.returned {
		cancel()
		j.transfer.Finish(false)
	}
}

// minFailureStatus is the lowest status of a response that is not a success.
const minFailureStatus = 300

// linkDelay returns how long the bytes of a request wait on this host's link before they leave it.
func (b *Broker) linkDelay() time.Duration { return b.options.Link.Delay() }
