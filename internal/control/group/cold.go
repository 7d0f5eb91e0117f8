package group

import (
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/lease"
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// coldOnJoin returns the time for which an upstream that joins with the announcement is cold.
func (g *Group) coldOnJoin(a table.Announcement) (left time.Duration) {
	v, _ := g.state.Items().Service(a.Service)
	known := g.state.NewestIncarnation(a.Name)
	if left = lease.ColdOnJoin(a, v, known != 0 && a.Incarnation > known); left > 0 {
		g.logCold(a, left, "join")
	}
	return left
}

// reviewCold notes the change that an announcement makes to the time for which its upstream is cold.
func (g *Group) reviewCold(now time.Duration, l *leaderState, u table.Upstream, a table.Announcement) {
	v, _ := g.state.Items().Service(u.Service)
	info := l.upstreams[u.Number]
	if v.ColdRate <= 0 || info == nil {
		return
	}
	left, set := info.cold.Heard(now, a, v, u)
	if !set {
		return
	}
	l.coldChanges = append(l.coldChanges, state.ColdUpstream{Number: u.Number, Left: int64(left)})
	if left > 0 {
		g.logCold(a, left, "heartbeat")
	}
}

// proposeCold proposes the changes that reviewCold noted. Many upstreams turn cold or warm at a time, so that one command holds them all.
func (g *Group) proposeCold(l *leaderState) {
	if len(l.coldChanges) > 0 && g.proposeNoWait(state.Command{SetCold: &state.SetCold{Upstreams: l.coldChanges}}) {
		l.coldChanges = nil
	}
}

func (g *Group) logCold(a table.Announcement, left time.Duration, source string) {
	g.options.Log.Write(events.UpstreamCold, zap.String("upstream", a.Name), zap.Uint64("incarnation", a.Incarnation),
		zap.Duration("left", left), zap.String("source", source))
}
