package group

import (
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/ops/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Times of second homes.
const (
	doubtPeriod = time.Second
	shunTime    = 10 * time.Minute
)

// doubt gives an upstream a second home where its home sees most requests to it fail, and its first home back after a
// while. Keys stay where they are.
func (g *Group) doubt(now time.Duration) {
	l := g.lead
	if now < l.doubtAt {
		return
	}
	l.doubtAt = now + doubtPeriod
	l.health.Forget(now)
	if l.homes.Len() < 2 {
		return
	}
	for _, u := range g.state.Upstreams() {
		home, _ := l.homes.Of(u)
		if l.health.Doubted(now, u.Number, home.Name) {
			g.shun(now, u, home.Name)
		} else if u.Shunned != "" && l.shunOver(now, u.Number) {
			g.shun(now, u, "")
		}
	}
}

// shunOver reports whether an upstream has had its second home for long enough; a new leader counts from its start.
func (l *lead) shunOver(now time.Duration, number uint32) bool {
	since, known := l.shunned[number]
	if !known {
		l.shunned[number] = now
	}
	return known && now-since > shunTime
}

func (g *Group) shun(now time.Duration, u table.Upstream, entry string) {
	if entry == u.Shunned {
		return
	}
	g.lead.shunned[u.Number] = now
	g.options.Log.Write(events.HomeShunned, zap.String("upstream", u.Name), zap.String("entry", entry))
	g.proposeDuty(state.Command{Shun: &state.Shun{Number: u.Number, Entry: entry}})
}
