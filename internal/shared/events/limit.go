package events

import (
	"sync"
	"time"
)

// Rate limits of the lines of each event, in lines per second and as a burst. Routine events have lower limits, so
// that lines about failures are skipped last.
const (
	routinePerSecond = 20.0
	routineBurst     = 40.0
	failurePerSecond = 100.0
	failureBurst     = 300.0
)

// limit is a token bucket that limits the lines of one event, so that heavy traffic does not flood the log.
type limit struct {
	mutex    sync.Mutex
	tokens   float64
	at       time.Time
	perSec   float64
	capacity float64
	skipped  int64
}

func newLimit(perSecond, burst float64) *limit {
	return &limit{tokens: burst, perSec: perSecond, capacity: burst}
}

// allow reports whether a line may be written, and how many were skipped since the previous one.
func (l *limit) allow(now time.Time) (ok bool, skipped int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.at.IsZero() {
		l.tokens = min(l.capacity, l.tokens+now.Sub(l.at).Seconds()*l.perSec)
	}
	l.at = now
	if l.tokens < 1 {
		l.skipped++
		return false, 0
	}
	l.tokens--
	skipped, l.skipped = l.skipped, 0
	return true, skipped
}
