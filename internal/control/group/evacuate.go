package group

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// Evacuate takes a data centre out of service or back, here or at the leader. It returns once that is committed. A call that reaches the
// leader later than an opposite one is made again while its caller waits; one that is delayed for longer has no effect, as the caller may
// have repeated it at another host before the opposite one.
func (g *Group) Evacuate(ctx context.Context, r *oper.EvacuateRequest) (answer *oper.Empty, err error) {
	for {
		call := *r
		if err = g.do(ctx, func() { call.Known = g.state.Index() }); err != nil {
			return nil, err
		}
		if answer, err = atLeader(ctx, g, oper.Evacuate, &call, g.evacuateAsLeader); !isOutdated(err) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(announcePollPeriod):
		}
	}
}

// isOutdated reports whether a later call was committed before one, as found by this host or by the leader.
func isOutdated(err error) bool {
	var here *oper.ErrOutdated
	return errors.As(err, &here) || err != nil && connect.CodeOf(err) == connect.CodeAborted
}

// evacuateAsLeader commits each call, also a repeated one, so that the state after an acknowledgement does not depend on calls that were
// proposed before it and are not committed yet.
func (g *Group) evacuateAsLeader(ctx context.Context, r *oper.EvacuateRequest) (*oper.Empty, error) {
	if !conf.IsWord(r.DataCentre) {
		return nil, &oper.ErrInvalid{Reason: "the data centre must be 1 to 40 letters, digits, - or _"}
	}
	result, err := g.proposeAndWait(ctx, evacuation(r))
	if err != nil {
		return nil, err
	}
	g.options.Log.Write(events.DataCentreEvacuated, zap.String("dataCentre", r.DataCentre), zap.Bool("out", r.Out), zap.String("by", r.By),
		zap.Int("changed", result.Changed), zap.String("refused", result.Rejection))
	if result.Outdated {
		return nil, &oper.ErrOutdated{Reason: result.Rejection}
	}
	if result.Rejection != "" {
		return nil, &oper.ErrRefused{Reason: result.Rejection}
	}
	return &oper.Empty{}, nil
}

// maxByLength is the longest part of an operator's name that is kept, in bytes.
const maxByLength = 64

func evacuation(r *oper.EvacuateRequest) state.Command {
	by := strings.ToValidUTF8(r.By[:min(len(r.By), maxByLength)], "") // a command with invalid text cannot be decoded
	return state.Command{Evacuate: &state.Evacuate{DataCentre: r.DataCentre, Out: r.Out, By: by, At: time.Now().UnixMilli(), Known: r.Known}}
}
