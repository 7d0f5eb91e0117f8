package relay

import (
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// logFailedAttempt logs an attempt without a response from an upstream or a home host.
func (h *Handler) logFailedAttempt(c *call, name, address string, p *reply, err error) {
	h.options.Log.Write(events.AttemptFailed, zap.String("id", c.id), zap.String("service", c.service.Name()), zap.String("upstream", name),
		zap.String("address", address), zap.String("outcome", string(p.outcome)), zap.String("reason", string(p.reason)),
		zap.String("cause", err.Error()))
}
