package relay

import (
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// logTry writes one line for a try that brought no answer from an upstream or a home.
func (h *Handler) logTry(c *call, name, address string, p *reply, err error) {
	h.options.Log.Write(events.AttemptFailed, zap.String("id", c.id), zap.String("service", c.service.Name()), zap.String("upstream", name),
		zap.String("address", address), zap.String("outcome", string(p.outcome)), zap.String("reason", string(p.reason)),
		zap.String("cause", err.Error()))
}
