package link

import "time"

// Parameters of a Pacer.
const (
	blockSize     = 8 << 10 // bytes of a large response that are sent without a pause; 12 ms on a link of 5.5 Mbit/s
	headroom      = 0.1     // share of the link that is kept free, so that the queue of small messages stays short
	minLargeShare = 0.25    // share of the link that large responses get however much the others use, so that they do not starve
)

// Pacer spreads the blocks of large responses over time, at the rate that other traffic leaves on the link.
type Pacer struct {
	rate float64
	next time.Duration
	// large is the usage by large responses, which the pacer does not count as other traffic.
	large *Gauge
}

// NewPacer returns a pacer for a link with the rate in bytes per second.
func NewPacer(rate float64) *Pacer { return &Pacer{rate: rate, large: NewGauge(rate)} }

// Rate returns the rate for large responses in bytes per second, if the whole usage of the link is as given.
func (p *Pacer) Rate(now time.Duration, usage float64) float64 {
	others := max(usage-p.large.Usage(now), 0)
	return max((1-headroom)*p.rate-others, minLargeShare*p.rate)
}

// Reserve returns how long to wait before the next block of the given size.
func (p *Pacer) Reserve(now time.Duration, bytes int, usage float64) (wait time.Duration) {
	rate := p.Rate(now, usage)
	p.next = max(p.next, now)
	wait = p.next - now
	p.next += time.Duration(float64(bytes) / rate * float64(time.Second))
	p.large.Add(now, bytes)
	return wait
}
