package cold

import "time"

// PermitLifetime is the time after its grant at which a permit ends.
const PermitLifetime = 200 * time.Millisecond

// Parameters of limits.
const (
	sendDelay  = 150 * time.Millisecond // longest assumed time from the last check of a permit to the arrival of its request
	rateShare  = 0.9                    // share of the rate that the upstream tolerates; the rest allows for drift between clocks
	maxBurst   = 2.0                    // permits that may be granted at once
	schedulers = 2                      // schedulers that may grant permits for an upstream without knowing of each other
)

// window is the time within which the permits were granted of all requests that arrive within one second.
const window = time.Second + PermitLifetime + sendDelay

// Allowance is how many requests may arrive at a cold upstream within one second: its rate times overrun, plus slack.
type Allowance struct {
	overrun float64
	slack   float64
}

// NewAllowance returns an allowance.
func NewAllowance(overrun, slack float64) Allowance { return Allowance{overrun: overrun, slack: slack} }

// Limit is the rate at which one scheduler grants permits for an upstream, and how many at once. The zero value belongs to services that
// state no rate, whose upstreams need no permits.
type Limit struct {
	stated bool
	rate   float64
	burst  float64
}

// Limit returns the limit of one scheduler for upstreams that tolerate the given rate per second.
//
// At most B = rate x overrun + slack requests may arrive within one second. A request arrives at most PermitLifetime + sendDelay after the
// grant of its permit, so that those which arrive within one second were granted within a window of W = 1.35 s. A token bucket grants at
// most burst + r x W permits within W, and two schedulers at once twice as many. The bound thus holds with burst + r x W <= B/2. With a
// rate of 4.7, an overrun of 1.5 and a slack of 8, B is 15.05, r = 0.9 x 4.7 = 4.23 and burst = 7.525 - 5.71 = 1.81: each scheduler grants
// at most 7 permits in W, so that at most 14 requests arrive within one second. With B below 2, one request from each of two schedulers
// would exceed the bound, and no permits are granted.
func (a Allowance) Limit(rate float64) Limit {
	if rate <= 0 {
		return Limit{}
	}
	share := (rate*a.overrun + a.slack) / schedulers
	if share < 1 {
		return Limit{stated: true}
	}
	l := Limit{stated: true, rate: min(rateShare*rate, (share-1)/window.Seconds())}
	l.burst = min(max(share-l.rate*window.Seconds(), 1), maxBurst)
	return l
}

// Stated reports whether the service states a rate, so that its cold upstreams need permits.
func (l Limit) Stated() bool { return l.stated }

// Rate returns the number of permits per second.
func (l Limit) Rate() float64 { return l.rate }
