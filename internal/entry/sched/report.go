package sched

import (
	"time"
)

// reportTTL is how long an upstream's report counts. Upstreams that share a machine are slow for about 400 ms at a time.
const reportTTL = 400 * time.Millisecond

// Limits of the slowness that is believed, as a factor on the usual time.
const (
	minSlowness = 0.2
	maxSlowness = 10
)

// report is what an upstream said about itself in its last response: the factor by which work takes longer there than usual, and the
// number of requests there that this scheduler did not assign. It is zero if the upstream said nothing recently.
type report struct {
	slowness  float64
	elsewhere int
	until     time.Duration
}

// presentRatio returns the upstream's latency ratio at present, with its slowness.
func (u *upstreamState) presentRatio() float64 {
	if u.report.slowness > 0 {
		return u.latencyRatio * u.report.slowness
	}
	return u.latencyRatio
}

// usualTime returns the time that a request would have taken without the slowness that its upstream reported. A passing slowness is
// then not learnt as the speed of the upstream.
func (r Result) usualTime() time.Duration {
	if r.Slowness <= 0 {
		return r.Took
	}
	return time.Duration(float64(r.Took) / r.slowness())
}

func (r Result) slowness() float64 {
	return min(max(float64(r.Slowness)/100, minSlowness), maxSlowness)
}

// recordReport takes over what an upstream reported, if it states its slowness. Requests that it counts beyond those with slots come from
// elsewhere, for example from hosts without a scheduler. The result's own request is among those that it counts.
func (s *Scheduler) recordReport(now time.Duration, u *upstreamState, r Result) {
	if r.Slowness <= 0 {
		return
	}
	u.report = report{slowness: r.slowness(), elsewhere: max(r.Running+r.Waiting-u.busy-1, 0), until: now + reportTTL}
	if s.reportsUntil == 0 {
		s.reportsUntil = u.report.until
	}
}

// expireReports drops reports that are no longer fresh.
func (s *Scheduler) expireReports(now time.Duration) {
	if s.reportsUntil == 0 || now < s.reportsUntil {
		return
	}
	s.reportsUntil = 0
	for _, u := range s.upstreams {
		switch {
		case now >= u.report.until:
			u.report = report{}
		case s.reportsUntil == 0 || u.report.until < s.reportsUntil:
			s.reportsUntil = u.report.until
		}
	}
}
