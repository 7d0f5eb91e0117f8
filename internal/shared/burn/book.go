package burn

import (
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// keptMinutes is how many steps of one minute a book keeps.
const keptMinutes = 3 * 24 * 60

// Category tells what spoiled a request.
type Category uint8

// Causes, Good for none.
const (
	Good Category = iota
	Unavailable
	Slow
	Shed
	Moved
)

// series is one service's ring of steps.
type series struct {
	first int64
	steps []oper.BurnCount
}

// Counters keeps counts by service and minute; it is safe for concurrent use.
type Counters struct {
	mutex    sync.Mutex
	services map[string]*series
}

// NewCounters returns an empty book.
func NewCounters() *Counters { return &Counters{services: map[string]*series{}} }

// Add counts one request.
func (b *Counters) Add(service string, at time.Time, c Category) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.services[service]
	if s == nil {
		s = &series{first: at.Unix() / 60}
		b.services[service] = s
	}
	if step := s.step(at.Unix() / 60); step != nil {
		count(step, c)
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

// step returns the step of a minute; old steps make room.
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

// Series returns the counts of a service with its objective.
func (b *Counters) Series(service string, goodShare float64, latency time.Duration) oper.BurnSeries {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	out := oper.BurnSeries{Service: service, GoodShare: goodShare, LatencyMillis: float64(latency) / float64(time.Millisecond)}
	if s := b.services[service]; s != nil {
		out.Minute = s.first
		out.Steps = append(out.Steps, s.steps...)
	}
	return out
}
