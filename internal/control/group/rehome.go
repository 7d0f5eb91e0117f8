package group

import (
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Times of excluding an upstream's home.
const (
	homeReviewPeriod = time.Second
	exclusionTime    = 10 * time.Minute
)

// reviewHomes excludes an upstream's home, the entry host that queues its requests, if the home reports that most of them
// fail. An alternate home serves until the first one is restored after exclusionTime. No slices move.
func (g *Group) reviewHomes(now time.Duration) {
	l := g.leader
	if now < l.homeReviewAt {
		return
	}
	l.homeReviewAt = now + homeReviewPeriod
	l.health.Prune(now)
	if l.homes.Len() < 2 {
		return
	}
	for _, u := range g.state.Upstreams() {
		home, _ := l.homes.Of(u)
		if l.health.Suspected(now, u.Number, home.Name) {
			g.excludeHome(now, u, home.Name)
		} else if u.ExcludedHome != "" && l.exclusionExpired(now, u.Number) {
			g.excludeHome(now, u, "")
		}
	}
}

// exclusionExpired reports whether an upstream's home has been excluded for more than exclusionTime. A new leader does not
// know when the exclusion began and counts from its first review.
func (l *leaderState) exclusionExpired(now time.Duration, number uint32) bool {
	since, known := l.excludedAt[number]
	if !known {
		l.excludedAt[number] = now
	}
	return known && now-since > exclusionTime
}

// excludeHome proposes which entry host must not be the upstream's home; an empty name ends the exclusion.
func (g *Group) excludeHome(now time.Duration, u table.Upstream, entry string) {
	if entry == u.ExcludedHome {
		return
	}
	g.leader.excludedAt[u.Number] = now
	g.options.Log.Write(events.HomeExcluded, zap.String("upstream", u.Name), zap.String("entry", entry))
	g.proposeNoWait(state.Command{ExcludeHome: &state.ExcludeHome{Number: u.Number, Entry: entry}})
}
