package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Tuning of budgets and pauses.
const (
	maxSaved     = 20
	firstPause   = 10 * time.Millisecond
	longestPause = 250 * time.Millisecond
)

// Budget lets retries be a share of the requests.
type Budget struct {
	mutex sync.Mutex
	share float64
	saved float64
}

// NewBudget returns a budget in which each request earns the share of a retry.
func NewBudget(share float64) *Budget { return &Budget{share: share, saved: maxSaved * share} }

// SetShare changes what each request earns.
func (b *Budget) SetShare(share float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.share = share
}

// Earn counts one first try.
func (b *Budget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.saved = min(b.saved+b.share, maxSaved)
}

// Spend reports whether one retry may be made.
func (b *Budget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Pause returns how long to wait before the retry with the number, counted from one, with full jitter.
func Pause(retry int, random func(int64) int64) time.Duration {
	most := firstPause << min(retry-1, 10)
	return firstPause/2 + time.Duration(random(int64(min(most, longestPause))))
}

// Random returns a number from 0 to n-1.
func Random(n int64) int64 { return rand.Int64N(n) }
