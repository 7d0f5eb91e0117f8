package group

import (
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Times of second homes.
const (
	reviewPeriod  = time.Second
	exclusionTime = 10 * time.Minute
)

// reviewHomes gives an upstream a second home where its home sees most requests to it fail, and its first home back
// after a while. Keys stay where they are.
func (g *Group) reviewHomes(now time.Duration) {
	l := g.lead
	if now < l.reviewAt {
		return
	}
	l.reviewAt = now + reviewPeriod
	l.health.Prune(now)
	if l.homes.Len() < 2 {
		return
	}
	for _, u := range g.state.Upstreams() {
		home, _ := l.homes.Of(u)
		if l.health.Suspected(now, u.Number, home.Name) {
			g.excludeHome(now, u, home.Name)
		} else if u.ExcludedHome != "" && l.exclusionOver(now, u.Number) {
			g.excludeHome(now, u, "")
		}
	}
}

// exclusionOver reports whether an upstream has had its second home for long enough; a new leader counts from its start.
func (l *lead) exclusionOver(now time.Duration, number uint32) bool {
	since, known := l.excludedAt[number]
	if !known {
		l.excludedAt[number] = now
	}
	return known && now-since > exclusionTime
}

func (g *Group) excludeHome(now time.Duration, u table.Upstream, entry string) {
	if entry == u.ExcludedHome {
		return
	}
	g.lead.excludedAt[u.Number] = now
	g.options.Log.Write(events.HomeExcluded, zap.String("upstream", u.Name), zap.String("entry", entry))
	g.proposeDuty(state.Command{ExcludeHome: &state.ExcludeHome{Number: u.Number, Entry: entry}})
}
