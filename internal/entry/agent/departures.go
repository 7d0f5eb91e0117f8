package agent

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Limits of the report on upstreams that leave.
const (
	departureRetention = time.Minute // how long an upstream is reported at most; one that joins again says so again
	maxDepartures      = 256         // upstreams in one report
)

// departures holds the upstreams that said in a response that they leave, until the table shows it. It is safe for concurrent use.
type departures struct {
	mutex sync.Mutex
	since map[table.Process]time.Time
}

// add records an upstream that leaves.
func (d *departures) add(now time.Time, p table.Process) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.since == nil {
		d.since = map[table.Process]time.Time{}
	}
	d.since[p] = now
}

// pending returns the upstreams to report. One that was removed from the table is still reported, as it may join again.
func (d *departures) pending(now time.Time, v *table.View) (list []table.Process) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.since) == 0 {
		return nil
	}
	for _, u := range v.Upstreams() {
		if u.Leaving {
			delete(d.since, u.Process())
		}
	}
	maps.DeleteFunc(d.since, func(_ table.Process, at time.Time) bool { return now.Sub(at) > departureRetention })
	list = slices.SortedFunc(maps.Keys(d.since), func(a, b table.Process) int { return strings.Compare(a.Name, b.Name) })
	return list[:min(len(list), maxDepartures)]
}

// ReportLeaving tells control with the next renewals that an upstream leaves.
func (a *Agent) ReportLeaving(p table.Process) {
	a.departures.add(time.Now(), p)
	a.wakeRenewals()
}
