package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of budgets and of the back-off.
const (
	maxBalance   = 20 // retries
	initialPause = 10 * time.Millisecond
	maxPause     = 250 * time.Millisecond
)

// Budget is a retry budget: it limits retries to a share of the requests. It is safe for concurrent use.
type Budget struct {
	mutex   sync.Mutex
	share   float64
	balance float64
}

// NewBudget returns a budget in which each request earns the given share of a retry.
func NewBudget(share float64) *Budget { return &Budget{share: share, balance: maxBalance * share} }

// SetShare changes the share of a retry that each request earns.
func (b *Budget) SetShare(share float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.share = share
}

// Earn counts a request's first attempt.
func (b *Budget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balance = min(b.balance+b.share, maxBalance)
}

// Spend reports whether a retry is allowed and, if so, deducts it from the balance.
func (b *Budget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Pause returns the back-off before the given retry, counted from one: half of initialPause plus full jitter. The jitter's upper
// bound doubles with each retry, up to maxPause.
func Pause(retry int, random func(int64) int64) time.Duration {
	maxJitter := initialPause << min(retry-1, 10)
	return initialPause/2 + time.Duration(random(int64(min(maxJitter, maxPause))))
}

// Random returns a number from 0 to n-1.
func Random(n int64) int64 { return rand.Int64N(n) }
