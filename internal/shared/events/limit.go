package events

import (
	"sync"
	"time"
)

// Lines that one event may write: a burst, then so many a second. Ordinary successes get less than failures.
const (
	ordinaryPerSecond = 20.0
	ordinaryBurst     = 40.0
	failurePerSecond  = 100.0
	failureBurst      = 300.0
)

// limit bounds the lines of one event, so that load on the host does not become load of its logs.
type limit struct {
	mutex   sync.Mutex
	tokens  float64
	at      time.Time
	perSec  float64
	most    float64
	skipped int64
}

func newLimit(perSecond, burst float64) *limit {
	return &limit{tokens: burst, perSec: perSecond, most: burst}
}

// allow reports whether a line may be written, and how many were left out before it.
func (l *limit) allow(now time.Time) (ok bool, skipped int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.at.IsZero() {
		l.tokens = min(l.most, l.tokens+now.Sub(l.at).Seconds()*l.perSec)
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
