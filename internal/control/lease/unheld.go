package lease

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// hashRange is a range of key hashes, both ends included. Unlike a grant, it stays the same when its fencing token changes.
type hashRange struct{ from, to uint64 }

// unheldGrants records since when the reports of an upstream have not listed any part of a grant. A grant is unheld until the upstream
// has received it; one that stays so is not served by anyone.
type unheldGrants struct {
	since map[hashRange]time.Duration
	found bool // whether UnheldGrants has returned lasting ones
}

// update compares what an upstream was granted with what it reports as held.
func (t *unheldGrants) update(now time.Duration, granted, held []table.Grant) {
	var unheld map[hashRange]time.Duration
	for _, g := range granted {
		if holdsAny(held, g.From, g.To) {
			continue
		}
		if unheld == nil {
			unheld = map[hashRange]time.Duration{}
		}
		r := hashRange{from: g.From, to: g.To}
		unheld[r] = now
		if since, known := t.since[r]; known {
			unheld[r] = since
		}
	}
	t.since = unheld
}

// UnheldGrants returns how many grants an upstream has not reported as held for longer than a lease, and whether that is new: the first
// such result since there were none.
func (m *Manager) UnheldGrants(now time.Duration, number uint32) (count int, isNew bool) {
	l := m.upstreams[number]
	if l == nil {
		return 0, false
	}
	for _, since := range l.unheld.since {
		if now-since > m.timing.expiry() {
			count++
		}
	}
	isNew = count > 0 && !l.unheld.found
	l.unheld.found = count > 0
	return count, isNew
}
