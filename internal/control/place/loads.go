package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

const (
	loadHalfLife = 4 * time.Second
	maxHotKeys   = 32
	// minHotRate is the rate, in requests per second, below which a key is no longer tracked as a hot key.
	minHotRate = 0.05
)

// estimate is a request rate that decays exponentially between reports.
type estimate struct {
	rate     float64
	at       time.Duration
	halfLife time.Duration
}

// decayed returns the rate at now, in requests per second.
func (e estimate) decayed(now time.Duration) float64 {
	return e.rate * math.Exp2(-float64(now-e.at)/float64(e.halfLife))
}

// add adds a number of requests. The factor ln 2 / half-life turns the decaying count into requests per second.
func (e *estimate) add(now time.Duration, count float64) {
	e.rate = e.decayed(now) + count*math.Ln2/e.halfLife.Seconds()
	e.at = now
}

// Loads estimates the request rates of one service's slices and hot keys from the counts that entry hosts report.
type Loads struct {
	slices   map[uint64]*estimate
	keys     map[uint64]*estimate
	halfLife time.Duration
}

// NewLoads returns a Loads with a half-life of 4 s.
func NewLoads() *Loads { return NewLoadsOver(loadHalfLife) }

// NewLoadsOver returns a Loads with the given half-life.
func NewLoadsOver(halfLife time.Duration) *Loads {
	return &Loads{slices: map[uint64]*estimate{}, keys: map[uint64]*estimate{}, halfLife: halfLife}
}

// AddSlice adds reported requests to a slice.
func (l *Loads) AddSlice(now time.Duration, c table.SliceCount) {
	l.count(l.slices, now, c.Start, c.Count)
}

// AddKey adds reported requests to a hot key.
func (l *Loads) AddKey(now time.Duration, c table.KeyCount) { l.count(l.keys, now, c.Hash, c.Count) }

func (l *Loads) count(m map[uint64]*estimate, now time.Duration, at uint64, count float64) {
	e := m[at]
	if e == nil {
		e = &estimate{halfLife: l.halfLife}
		m[at] = e
	}
	e.add(now, count)
}

// Update adapts the estimates to slices that have been split or merged since the last call.
func (l *Loads) Update(now time.Duration, set slice.Set) {
	for start, e := range l.slices {
		if s := set.Find(start); s.Start != start {
			l.count(l.slices, now, s.Start, 0)
			l.slices[s.Start].rate += e.decayed(now)
			delete(l.slices, start)
		}
	}
	for i := range set.Len() {
		s := set.At(i)
		if l.slices[s.Start] == nil {
			l.splitEstimate(now, set, i)
		}
	}
}

// splitEstimate adds the estimate of the slice at position i, which was split off the slice before it, and divides the rate
// of that slice between the two: by the rates of the hot keys in either part, or in half if there are none.
func (l *Loads) splitEstimate(now time.Duration, set slice.Set, i int) {
	e := &estimate{at: now, halfLife: l.halfLife}
	l.slices[set.At(i).Start] = e
	if i == 0 {
		return
	}
	parent := l.slices[set.At(i-1).Start]
	if parent == nil {
		return
	}
	total := parent.decayed(now)
	e.rate = total / 2
	if hot := l.hotWithin(now, set.At(i).Start, set.Last(i)); hot > 0 {
		e.rate = min(hot, total)
	} else if l.hotWithin(now, set.At(i-1).Start, set.Last(i-1)) > 0 {
		e.rate = max(0, total-l.hotWithin(now, set.At(i-1).Start, set.Last(i-1)))
	}
	parent.rate, parent.at = total-e.rate, now
}

// hotWithin returns the total rate of the hot keys between two hashes, both included.
func (l *Loads) hotWithin(now time.Duration, from, to uint64) (rate float64) {
	for hash, e := range l.keys {
		if from <= hash && hash <= to {
			rate += e.decayed(now)
		}
	}
	return rate
}

// Rates returns the requests per second of each slice in order.
func (l *Loads) Rates(now time.Duration, set slice.Set) []float64 {
	rates := make([]float64, set.Len())
	for i := range rates {
		if e := l.slices[set.At(i).Start]; e != nil {
			rates[i] = e.decayed(now)
		}
	}
	return rates
}

// HotKeys returns up to 32 hot keys in descending order of rate. It removes keys whose rate has fallen below minHotRate.
func (l *Loads) HotKeys(now time.Duration) (hot []HotKey) {
	for hash, e := range l.keys {
		rate := e.decayed(now)
		if rate < minHotRate {
			delete(l.keys, hash)
			continue
		}
		hot = append(hot, HotKey{hash: hash, rate: rate})
	}
	slices.SortFunc(hot, func(a, b HotKey) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.hash, b.hash)) })
	return hot[:min(len(hot), maxHotKeys)]
}
