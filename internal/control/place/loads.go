package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Tuning of load estimates.
const (
	loadHalfLife = 4 * time.Second
	maxHotKeys   = 32
	forgetRate   = 0.05
)

// estimate is a rate that decays between reports.
type estimate struct {
	rate float64
	at   time.Duration
	life time.Duration
}

// decayed returns the rate as it stands now; counts spread over the half-life make it requests per second.
func (e estimate) decayed(now time.Duration) float64 {
	return e.rate * math.Exp2(-float64(now-e.at)/float64(e.life))
}

func (e *estimate) add(now time.Duration, count float64) {
	e.rate = e.decayed(now) + count*math.Ln2/e.life.Seconds()
	e.at = now
}

// Loads gathers the counts that entry hosts report for one service.
type Loads struct {
	slices map[uint64]*estimate
	keys   map[uint64]*estimate
	life   time.Duration
}

// NewLoads returns empty estimates that halve in loadHalfLife.
func NewLoads() *Loads { return NewLoadsOver(loadHalfLife) }

// NewLoadsOver returns empty estimates that halve in the given time.
func NewLoadsOver(life time.Duration) *Loads {
	return &Loads{slices: map[uint64]*estimate{}, keys: map[uint64]*estimate{}, life: life}
}

// AddSlice counts requests to the slice that starts at the hash.
func (l *Loads) AddSlice(now time.Duration, c table.SliceCount) {
	l.bump(l.slices, now, c.Start, c.Count)
}

// AddKey counts requests to a hot key.
func (l *Loads) AddKey(now time.Duration, c table.KeyCount) { l.bump(l.keys, now, c.Hash, c.Count) }

func (l *Loads) bump(m map[uint64]*estimate, now time.Duration, at uint64, count float64) {
	e := m[at]
	if e == nil {
		e = &estimate{life: l.life}
		m[at] = e
	}
	e.add(now, count)
}

// Update splits and joins estimates as the slices were split and joined.
func (l *Loads) Update(now time.Duration, set slice.Set) {
	for start, e := range l.slices {
		if s := set.Find(start); s.Start != start {
			l.bump(l.slices, now, s.Start, 0)
			l.slices[s.Start].rate += e.decayed(now)
			delete(l.slices, start)
		}
	}
	for i := range set.Len() {
		s := set.At(i)
		if l.slices[s.Start] == nil {
			l.divide(now, set, i)
		}
	}
}

// divide starts the estimate of a slice that was cut off the one before it: by its hot keys, or by half.
func (l *Loads) divide(now time.Duration, set slice.Set, i int) {
	e := &estimate{at: now, life: l.life}
	l.slices[set.At(i).Start] = e
	if i == 0 {
		return
	}
	parent := l.slices[set.At(i-1).Start]
	if parent == nil {
		return
	}
	whole := parent.decayed(now)
	e.rate = whole / 2
	if hot := l.hotWithin(now, set.At(i).Start, set.Last(i)); hot > 0 {
		e.rate = min(hot, whole)
	} else if l.hotWithin(now, set.At(i-1).Start, set.Last(i-1)) > 0 {
		e.rate = max(0, whole-l.hotWithin(now, set.At(i-1).Start, set.Last(i-1)))
	}
	parent.rate, parent.at = whole-e.rate, now
}

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

// HotKeys returns the hottest keys, the hottest first, and forgets those that have cooled.
func (l *Loads) HotKeys(now time.Duration) (hot []HotKey) {
	for hash, e := range l.keys {
		rate := e.decayed(now)
		if rate < forgetRate {
			delete(l.keys, hash)
			continue
		}
		hot = append(hot, HotKey{hash: hash, rate: rate})
	}
	slices.SortFunc(hot, func(a, b HotKey) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.hash, b.hash)) })
	return hot[:min(len(hot), maxHotKeys)]
}
