package cold

import (
	"math"
	"slices"
	"time"
)

// refundTime is how long after its grant a permit can be refunded; the result of a request that was not sent arrives within that time.
const refundTime = time.Second

// rounding is the part of a token that may be missing due to rounding.
const rounding = 1e-9

// Bucket is a token bucket of the permits for one cold upstream. It starts empty, so that schedulers which follow one another grant
// no more than a single one.
type Bucket struct {
	limit  Limit
	tokens float64
	at     time.Duration
	// grants holds the times of recent grants that tokens does not reflect, as they can be refunded.
	grants []time.Duration
	next   time.Duration
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Duration, l Limit) *Bucket {
	b := &Bucket{limit: l, at: now}
	b.setNext(now)
	return b
}

// Limit returns the limit of the bucket.
func (b *Bucket) Limit() Limit { return b.limit }

// Ready reports whether a permit can be granted.
func (b *Bucket) Ready(now time.Duration) bool { return b.limit.rate > 0 && now >= b.next }

// Wait returns the time until a permit can be granted.
func (b *Bucket) Wait(now time.Duration) time.Duration { return max(b.next-now, 0) }

// Take grants a permit; Ready must have reported true.
func (b *Bucket) Take(now time.Duration) {
	for len(b.grants) > 0 && now-b.grants[0] > refundTime {
		b.tokens, b.at = b.filled(b.tokens, b.at, b.grants[0])-1, b.grants[0]
		b.grants = b.grants[1:]
	}
	b.grants = append(b.grants, now)
	b.setNext(now)
}

// Refund takes back a permit whose request was not sent. The bucket is then as if the permit had not been granted. Adding a token
// instead could exceed the limit, because the bucket may have filled up since.
func (b *Bucket) Refund(now, grantedAt time.Duration) {
	if i := slices.Index(b.grants, grantedAt); i >= 0 {
		b.grants = slices.Delete(b.grants, i, i+1)
		b.setNext(now)
	}
}

// Level returns the number of tokens.
func (b *Bucket) Level(now time.Duration) float64 {
	tokens, at := b.tokens, b.at
	for _, grant := range b.grants {
		tokens, at = b.filled(tokens, at, grant)-1, grant
	}
	return b.filled(tokens, at, now)
}

// filled returns the number of tokens at a later time.
func (b *Bucket) filled(tokens float64, at, now time.Duration) float64 {
	return min(tokens+b.limit.rate*max(now-at, 0).Seconds(), b.limit.burst)
}

// setNext computes when the next permit can be granted.
func (b *Bucket) setNext(now time.Duration) {
	missing := 1 - rounding - b.Level(now)
	if b.next = now; missing > 0 && b.limit.rate > 0 {
		b.next += time.Duration(math.Ceil(missing / b.limit.rate * float64(time.Second)))
	}
}
