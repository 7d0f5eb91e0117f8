package group

import (
	"context"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Leave records that a process of an upstream leaves, here or at the leader, whether the process has joined or not. It returns once
// that is committed.
func (g *Group) Leave(ctx context.Context, r *oper.LeaveRequest) (_ *oper.Empty, err error) {
	return atLeader(ctx, g, oper.Leave, r, g.leaveAsLeader)
}

func (g *Group) leaveAsLeader(ctx context.Context, r *oper.LeaveRequest) (*oper.Empty, error) {
	if !conf.IsWord(r.Name) {
		return nil, &oper.ErrInvalid{Reason: "name must be 1 to 40 letters, digits, - or _"}
	}
	var process table.Process
	left := false
	err := g.leaseRead(ctx, func(*leaderState) error {
		process = g.leavingProcess(r)
		if process.Incarnation == 0 {
			return &oper.ErrInvalid{Reason: "no process of " + r.Name + " is known, and the message does not tell which one leaves"}
		}
		if left = g.state.HasLeft(process); !left {
			g.logLeaving(process, "message")
		}
		return nil
	})
	if err != nil || left {
		return &oper.Empty{}, err
	}
	_, err = g.proposeAndWait(ctx, leavingCommand(process))
	return &oper.Empty{}, err
}

// leavingProcess returns the process that a request means. Without an incarnation, that is the one that is listed or was lost, and
// otherwise any that has not joined yet and may have sent the request.
func (g *Group) leavingProcess(r *oper.LeaveRequest) table.Process {
	p := table.Process{Name: r.Name, Incarnation: r.Incarnation}
	if p.Incarnation != 0 {
		return p
	}
	u, listed := g.state.UpstreamNamed(r.Name)
	_, lost := g.state.Lost(r.Name)
	switch {
	case listed:
		p.Incarnation = u.Incarnation
	case lost:
		p.Incarnation = g.state.NewestIncarnation(r.Name)
	default:
		p.Incarnation = max(r.Latest, g.state.NewestIncarnation(r.Name))
	}
	return p
}

// recordLeaving reports whether it is committed that a process has left. If it is not, recordLeaving proposes it, once in a leadership.
func (g *Group) recordLeaving(l *leaderState, p table.Process, source string) (committed bool) {
	if g.state.HasLeft(p) {
		return true
	}
	if !l.leaving[p] {
		g.logLeaving(p, source)
		l.leaving[p] = g.proposeNoWait(leavingCommand(p))
	}
	return false
}

func leavingCommand(p table.Process) state.Command {
	return state.Command{Drain: &state.Drain{Name: p.Name, On: true, Self: true, Incarnation: p.Incarnation}}
}

func (g *Group) logLeaving(p table.Process, source string) {
	u, listed := g.state.UpstreamNamed(p.Name)
	g.options.Log.Write(events.UpstreamLeaving, zap.String("upstream", p.Name), zap.Uint64("incarnation", p.Incarnation),
		zap.String("source", source), zap.Bool("joined", listed && u.Incarnation == p.Incarnation))
}
