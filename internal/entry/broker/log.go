package broker

import (
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Rejected notes a request that was turned away before it was read whole.
func (b *Broker) Rejected(remote string, status int, reason string) {
	b.options.Log.Write(events.RequestRejected, zap.String("caller", remote), zap.Int("status", status), zap.String("reason", reason))
}

// idsTold is how many ids of unanswered requests one line names; a connection may hold more.
const idsTold = 16

// Unanswered notes that a caller's connection ended while requests that were read had no complete answer.
func (b *Broker) Unanswered(u *serve.Unanswered) {
	for _, s := range []serve.Stage{serve.StageWaiting, serve.StageForwarded, serve.StageResponding} {
		b.options.Observer.Unanswered(u.Cause, s, u.Count(s))
	}
	var ids []string
	for _, r := range u.Requests[:min(len(u.Requests), idsTold)] {
		ids = append(ids, r.HTTP.Header.Get(b.options.Headers.RequestID))
	}
	event := events.ResponsesLost
	if u.Cause == serve.CauseCallerClosed {
		event = events.CallerDisconnected
	}
	since, stopping := b.sinceStop()
	fields := []zap.Field{zap.String("caller", u.Remote), zap.String("cause", string(u.Cause)), zap.Strings("ids", ids),
		zap.Int("waiting", u.Count(serve.StageWaiting)), zap.Int("passedOn", u.Count(serve.StageForwarded)),
		zap.Int("answered", u.Count(serve.StageResponding)), zap.Bool("stopping", stopping), zap.Duration("sinceStop", since)}
	if u.Err != nil {
		fields = append(fields, events.Cause(u.Err))
	}
	b.options.Log.Write(event, fields...)
}

// Panicked notes that the handling of a request ended with a panic.
func (b *Broker) Panicked(r *serve.Request, value any) {
	b.options.Log.Write(events.HTTPServerError, zap.String("id", r.HTTP.Header.Get(b.options.Headers.RequestID)),
		events.Cause(errors.Errorf("panic: %v", value)), zap.ByteString("stack", debug.Stack()))
}

// logTry writes one line for a try that brought no answer.
func (b *Broker) logTry(j *job, u table.Upstream, v verdict, took time.Duration) {
	b.options.Log.Write(events.AttemptFailed, zap.String("id", j.id), zap.String("service", j.service), zap.String("upstream", u.Name),
		zap.String("address", u.Address), zap.Stringer("verdict", v), zap.Int("sends", j.sends), zap.Duration("took", took),
		zap.Duration("left", j.expires-b.options.Clock()), zap.Uint64("fence", j.holder.Fence), zap.String("cause", j.cause))
}

// logRecord writes one line for a request: those that were served at a lower level than those that were not.
func (b *Broker) logRecord(r Record) {
	event := events.RequestAnswered
	if r.Outcome != relay.Done || r.Status >= 500 {
		event = events.RequestFailed
	}
	b.options.Log.Write(event, zap.String("id", r.ID), zap.String("route", r.Route), zap.String("service", r.Service),
		zap.Int("priority", r.Priority), zap.String("upstream", r.Upstream), zap.Int("attempts", r.Attempts), zap.Int("status", r.Status),
		zap.String("outcome", string(r.Outcome)), zap.String("reason", string(r.Reason)), zap.Duration("took", r.Took),
		zap.Duration("waited", r.Waited), zap.Uint64("table", r.Version))
}
