package relay

import (
	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// errOutOfService is the cause of a request that was not sent because the data centre of its upstream was taken out of service meanwhile.
var errOutOfService = errors.New("upstream is in a data centre out of service")

// outOfServiceRetryAfter is the Retry-After time, in seconds, of requests rejected because every upstream is out of service; nobody knows
// when an operator ends that.
const outOfServiceRetryAfter = "1"

// outOfService reports whether an upstream is in a data centre that is out of service, according to the newest table.
func (h *Handler) outOfService(u table.Upstream) bool { return h.table.View().Evacuated(u.DataCentre) }

// inService returns a function that returns an error while the upstream is in a data centre out of service.
func (h *Handler) inService(u table.Upstream) func() error {
	return func() error {
		if h.outOfService(u) {
			return errOutOfService
		}
		return nil
	}
}

// maxRedraws is how often another upstream is drawn for a request without a key; each draw misses an upstream that may be sent requests
// with the share of the hash space that data centres out of service still own.
const maxRedraws = 16

// findTarget returns the target of a request. Before the first attempt, one without a key gets another hash if its upstream is in a data
// centre out of service.
func (h *Handler) findTarget(v *table.View, c *call, attempt int) (target route.Target) {
	target = route.Find(v, c.service.Name(), c.hash)
	for n := 0; attempt == 1 && n < maxRedraws && c.service.Key().Unkeyed() && v.Evacuated(target.Upstream().DataCentre); n++ {
		c.hash = h.randomHash()
		target = route.Find(v, c.service.Name(), c.hash)
	}
	return target
}
