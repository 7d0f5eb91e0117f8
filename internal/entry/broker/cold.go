package broker

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/entry/cold"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Limits of requests to cold upstreams.
const (
	maxColdNotice     = time.Minute // longest time that a response may state for its upstream to stay cold
	maxColdRetryAfter = time.Second // longest Retry-After for a cold upstream; a scheduler replies again within about this time
	maxColdRefusals   = 4           // number of times that a request asks for another slot because the one it had was not usable
)

// errPermitEnded is the cause of a request that was not sent because its permit for a cold upstream had ended.
var errPermitEnded = errors.New("permit for a cold upstream has ended")

// errCold is the cause of a request that was not sent because its upstream is cold and the request has no permit.
var errCold = errors.New("upstream is cold and the request has no permit")

// coldTimes holds until when an upstream is cold: as of the version of the table that last changed that, and as stated in its responses.
type coldTimes struct {
	version uint64
	until   time.Duration
	noted   time.Duration
}

// apply applies an upstream's state in the table, with the time counted from now. Older states are ignored.
func (c *coldTimes) apply(now time.Duration, u table.Upstream) {
	if u.ColdVersion > c.version {
		c.version, c.until = u.ColdVersion, now+u.ColdLeft
	}
}

// left returns how much longer the upstream is cold.
func (c *coldTimes) left(now time.Duration) time.Duration { return max(c.until-now, c.noted-now, 0) }

// coldLimit returns the limit of the permits for a service's cold upstreams.
func (b *Broker) coldLimit(service string) cold.Limit {
	v, _ := b.options.Table.View().Items().Service(service)
	return b.options.Cold.Limit(v.ColdRate)
}

// needsPermits reports whether a service states a rate for its cold upstreams.
func needsPermits(v *table.View, service string) bool {
	s, _ := v.Items().Service(service)
	return s.ColdRate > 0
}

// coldLeft returns how much longer an upstream is cold. It is zero for services that state no rate.
func (b *Broker) coldLeft(now time.Duration, u table.Upstream) time.Duration {
	if !needsPermits(b.options.Table.View(), u.Service) {
		return 0
	}
	left, _ := b.upstreams.coldLeft(now, u)
	return left
}

// coldLeft returns how much longer an upstream is cold, and the part of that which its responses state.
func (t *tracker) coldLeft(now time.Duration, u table.Upstream) (left, noted time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.get(now, u)
	return s.cold.left(now), max(s.cold.noted-now, 0)
}

// noteCold records that an upstream's response states that it is cold, and reports whether that was not known.
func (t *tracker) noteCold(now time.Duration, u table.Upstream, left time.Duration) (first bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.get(now, u)
	first = s.cold.left(now) == 0
	s.cold.noted = max(s.cold.noted, now+left)
	return first
}

// soonestWarm returns the time until the first of a service's cold upstreams is warm, or zero if none is cold.
func (t *tracker) soonestWarm(now time.Duration, v *table.View, service string) (soonest time.Duration) {
	if !needsPermits(v, service) {
		return 0
	}
	for _, u := range v.UpstreamsOf(service) {
		if left, _ := t.coldLeft(now, u); left > 0 && (soonest == 0 || left < soonest) {
			soonest = left
		}
	}
	return soonest
}

// coldIn returns how long the header of a response states that its upstream stays cold.
func (names HeaderNames) coldIn(h http.Header) (left time.Duration, valid bool) {
	text := strings.TrimSpace(h.Get(names.Cold))
	if names.Cold == "" || text == "" {
		return 0, true
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(ms) || ms < 0 {
		return 0, false
	}
	return time.Duration(min(ms, float64(maxColdNotice.Milliseconds())) * float64(time.Millisecond)), true
}

// readCold records and logs what a response states of a cold upstream.
func (b *Broker) readCold(id string, u table.Upstream, h http.Header) {
	left, valid := b.options.Headers.coldIn(h)
	fields := []zap.Field{zap.String("id", id), zap.String("upstream", u.Name), zap.String("service", u.Service)}
	if !valid {
		b.options.Observer.Noticed(u.Service, NoticeInvalid)
		b.options.Log.Write(events.NoticeInvalid, append(fields, zap.String("field", b.options.Headers.Cold),
			zap.String("value", clip(h.Get(b.options.Headers.Cold))))...)
	}
	if left > 0 && needsPermits(b.options.Table.View(), u.Service) && b.upstreams.noteCold(b.options.Clock(), u, left) {
		b.options.Observer.Noticed(u.Service, NoticeCold)
		b.options.Log.Write(events.ColdNoticed, append(fields, zap.Duration("left", left))...)
	}
}

// checkPermit returns an error if the upstream is cold and the request has no permit that is still valid.
func (j *job) checkPermit(u table.Upstream) error {
	now := j.broker.options.Clock()
	if j.slot != nil {
		if end, ok := j.slot.Permit(); ok && now >= end {
			return errPermitEnded
		} else if ok {
			return nil
		}
	}
	if j.broker.coldLeft(now, u) > 0 {
		return errCold
	}
	return nil
}

// isColdRefusal reports whether a request was not sent because its upstream is cold.
func isColdRefusal(err error) bool { return errors.Is(err, errPermitEnded) || errors.Is(err, errCold) }

// refusedCold ends an attempt that was not sent because its upstream is cold. The request asks for another slot, a few times at most.
func (j *job) refusedCold(u table.Upstream, took time.Duration) (response *serve.Response, again bool) {
	j.sends--
	j.reason = ReasonCold
	j.finishAttempt(u, resultAbandoned, took, nil)
	if j.coldRefusals++; j.coldRefusals >= maxColdRefusals {
		return j.rejectCold(j.broker.coldLeft(j.broker.options.Clock(), u)), false
	}
	return nil, true
}

// rejectCold rejects a request that only cold upstreams could run, the first of which is warm after the given time.
func (j *job) rejectCold(left time.Duration) *serve.Response {
	return j.reject(ReasonCold, spreadReturn(min(left, maxColdRetryAfter)))
}

// coldResult returns what the scheduler has to learn about a cold upstream from the result of a request: all that this host knows if
// the scheduler took the upstream for warm, and otherwise what its responses state.
func (j *job) coldResult(u table.Upstream) time.Duration {
	now := j.broker.options.Clock()
	if j.slot == nil || !needsPermits(j.broker.options.Table.View(), u.Service) {
		return 0
	}
	left, noted := j.broker.upstreams.coldLeft(now, u)
	if _, ok := j.slot.Permit(); ok {
		return noted
	}
	return left
}

// withCold adds to the description of an upstream what the scheduler needs while it is cold; the tracker's mutex must be held.
func (s *upstreamState) withCold(now time.Duration, u sched.Upstream, limit cold.Limit) sched.Upstream {
	if limit.Stated() {
		u.ColdLeft, u.Permits = s.cold.left(now), limit
		u.Cold = u.ColdLeft > 0
	}
	return u
}
