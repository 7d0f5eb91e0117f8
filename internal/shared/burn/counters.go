package burn

import (
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// keptMinutes is the number of one-minute steps that are kept per service: three days.
const keptMinutes = 3 * 24 * 60

// Category classifies a request for the service-level objective: good, or the reason why it was bad.
type Category uint8

// Categories of requests.
const (
	Good        Category = iota
	Unavailable          // failed for another reason than Shed or Moved, or answered with a status of 500 or above
	Slow                 // answered, but later than the objective's latency
	Shed                 // rejected because of overload
	Moved                // not served because its key had no owner, was being moved, or the upstream rejected the fencing token
)

// series holds one service's counts, one step per minute; first is the Unix minute of the first step.
type series struct {
	first int64
	steps []oper.BurnCount
}

// Counters counts requests by service and minute. It is safe for concurrent use.
type Counters struct {
	mutex    sync.Mutex
	services map[string]*series
}

// NewCounters returns empty counters.
func NewCounters() *Counters { return &Counters{services: map[string]*series{}} }

// Add counts one request.
func (c *Counters) Add(service string, at time.Time, category Category) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s := c.services[service]
	if s == nil {
		s = &series{first: at.Unix() / 60}
		c.services[service] = s
	}
	if step := s.step(at.Unix() / 60); step != nil {
		count(step, category)
	}
}

func count(step *oper.BurnCount, c Category) {
	switch c {
	case Good:
		step.Good++
	case Unavailable:
		step.Unavailable++
	case Slow:
		step.Slow++
	case Shed:
		step.Shed++
	case Moved:
		step.Moved++
	}
}

// step returns the step of a minute, or nil for a minute before the first one kept. It drops the oldest steps beyond
// keptMinutes.
func (s *series) step(minute int64) *oper.BurnCount {
	if minute < s.first {
		return nil
	}
	for int64(len(s.steps)) <= minute-s.first {
		s.steps = append(s.steps, oper.BurnCount{})
		if len(s.steps) > keptMinutes {
			drop := len(s.steps) - keptMinutes
			s.steps = append([]oper.BurnCount(nil), s.steps[drop:]...)
			s.first += int64(drop)
		}
	}
	return &s.steps[minute-s.first]
}

// Series returns the counts of a service, labelled with its objective.
func (c *Counters) Series(service string, goodShare float64, latency time.Duration) oper.BurnSeries {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	out := oper.BurnSeries{Service: service, GoodShare: goodShare, LatencyMillis: float64(latency) / float64(time.Millisecond)}
	if s := c.services[service]; s != nil {
		out.Minute = s.first
		out.Steps = append(out.Steps, s.steps...)
	}
	return out
}
