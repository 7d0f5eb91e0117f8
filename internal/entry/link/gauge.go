package link

import (
	"math"
	"time"
)

// Parameters of a Gauge.
const (
	usagePeriod     = 300 * time.Millisecond // time constant of the average usage; about the time of one request
	segmentSize     = 1400                   // bytes of payload in one packet
	segmentOverhead = 52                     // bytes of headers of one packet, IP and TCP with options
)

// Gauge models one direction of a link as a queue that is drained at the link's rate.
type Gauge struct {
	rate    float64
	backlog float64
	usage   float64
	at      time.Duration
}

// NewGauge returns a gauge of a link with the rate in bytes per second.
func NewGauge(rate float64) *Gauge { return &Gauge{rate: rate} }

// Add records that bytes of payload were handed to the link, or received from it.
func (g *Gauge) Add(now time.Duration, bytes int) {
	g.advance(now)
	packets := (bytes + segmentSize - 1) / segmentSize
	total := float64(bytes + packets*segmentOverhead)
	g.backlog += total
	g.usage += total / usagePeriod.Seconds()
}

// advance applies the time since the last call.
func (g *Gauge) advance(now time.Duration) {
	elapsed := max(now-g.at, 0).Seconds()
	g.at = max(now, g.at)
	g.backlog = max(g.backlog-elapsed*g.rate, 0)
	g.usage *= math.Exp(-elapsed / usagePeriod.Seconds())
}

// Delay returns how long a byte waits that is handed to the link now.
func (g *Gauge) Delay(now time.Duration) time.Duration {
	g.advance(now)
	return time.Duration(g.backlog / g.rate * float64(time.Second))
}

// Usage returns the average usage of the link in bytes per second.
func (g *Gauge) Usage(now time.Duration) float64 {
	g.advance(now)
	return g.usage
}

// Utilization returns the average usage as a share of the link's rate.
func (g *Gauge) Utilization(now time.Duration) float64 { return g.Usage(now) / g.rate }
