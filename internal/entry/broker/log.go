package broker

import (
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Refused notes a request that was turned away before it was read whole.
func (b *Broker) Refused(remote string, status int, reason string) {
	b.options.Log.Write(events.RequestRefused, zap.String("caller", remote), zap.Int("status", status), zap.String("reason", reason))
}

// logTry writes one line for a try that brought no answer.
func (b *Broker) logTry(j *job, u table.Upstream, v verdict, took time.Duration) {
	b.options.Log.Write(events.TryFailed, zap.String("id", j.id), zap.String("service", j.service), zap.String("upstream", u.Name),
		zap.String("address", u.Address), zap.Stringer("verdict", v), zap.Int("sends", j.sends), zap.Duration("took", took),
		zap.Duration("left", j.expires-b.options.Clock()), zap.Uint64("fence", j.holder.Fence), zap.String("cause", j.cause))
}

// logRecord writes one line for a request: those that were served at a lower level than those that were not.
func (b *Broker) logRecord(r Record) {
	event := events.RequestEnded
	if r.Outcome != relay.Done || r.Status >= 500 {
		event = events.RequestFailed
	}
	b.options.Log.Write(event, zap.String("id", r.ID), zap.String("route", r.Route), zap.String("service", r.Service),
		zap.Int("priority", r.Priority), zap.String("upstream", r.Upstream), zap.Int("attempts", r.Attempts), zap.Int("status", r.Status),
		zap.String("outcome", string(r.Outcome)), zap.String("reason", string(r.Reason)), zap.Duration("took", r.Took),
		zap.Duration("waited", r.Waited), zap.Uint64("table", r.Version))
}
