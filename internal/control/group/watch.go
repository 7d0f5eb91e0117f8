package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Limits of watches.
const (
	maxWatchHold    = 2 * time.Second
	maxCachedDeltas = 8
)

// watchers holds the channels of waiting watch calls. Those in changes wait for a newer version; those in confirmations wait
// for the leader's confirmation that this host is up to date. The other fields are as of the last wake-up.
type watchers struct {
	changes       []chan struct{}
	confirmations []chan struct{}
	version       uint64
	confirmed     confirmation
	applied       uint64
}

// wake closes all waiting channels and empties the list.
func wake(waiting *[]chan struct{}) {
	for _, w := range *waiting {
		close(w)
	}
	*waiting = nil
}

// waitOn adds a new channel to the list and returns it; wake closes it.
func waitOn(waiting *[]chan struct{}) chan struct{} {
	w := make(chan struct{})
	*waiting = append(*waiting, w)
	return w
}

// wakeWatchers wakes the watch calls whose condition may now be met.
func (g *Group) wakeWatchers() {
	w := &g.watchers
	if v := g.state.Version(); v != w.version {
		w.version = v
		wake(&w.changes)
	}
	if confirmed := g.forwarder.confirmed; confirmed != w.confirmed || g.state.Index() != w.applied {
		w.confirmed, w.applied = confirmed, g.state.Index()
		wake(&w.confirmations)
	}
}

// cachedDelta is a delta with its encoding, which is made once for all hosts that receive it.
type cachedDelta struct {
	delta   *table.Delta
	encoded func() (*wire.Encoded, error)
}

// deltaKey identifies a delta by the version and digest that its receiver holds.
type deltaKey struct {
	version uint64
	digest  uint64
}

// deltaCache holds deltas to one version, by what the receiver holds.
type deltaCache struct {
	version uint64
	deltas  map[deltaKey]*cachedDelta
}

// deltaFor returns the delta from the version that a host holds to the current one, from the cache if possible.
func (g *Group) deltaFor(w *table.Watch) *cachedDelta {
	p := &g.deltas
	if p.deltas == nil || p.version != g.state.Version() || len(p.deltas) >= maxCachedDeltas {
		p.version, p.deltas = g.state.Version(), map[deltaKey]*cachedDelta{}
	}
	key := deltaKey{version: w.Version, digest: w.Digest}
	if d := p.deltas[key]; d != nil {
		return d
	}
	delta := g.state.DeltaSince(w.Version, w.Digest)
	for _, m := range g.core.Members() {
		host := table.ControlHost{Address: m.Address, DataCentre: m.DataCentre}
		if !slices.Contains(delta.Control, host) { // a host that lost its disk is listed twice until its old identity is removed
			delta.Control = append(delta.Control, host)
		}
	}
	d := &cachedDelta{delta: &delta, encoded: sync.OnceValues(func() (*wire.Encoded, error) { return wire.Encode(delta) })}
	p.deltas[key] = d
	return d
}

// watch answers with the changes since the caller's version. If there are none, it waits for one, for w.MaxWait or maxWatchHold
// at most (long polling).
func (g *Group) watch(ctx context.Context, w *table.Watch) (*wire.Encoded, error) {
	deadline := time.NewTimer(min(w.MaxWait, maxWatchHold))
	defer deadline.Stop()
	arrived := g.now()
	for last := false; ; {
		var answer *cachedDelta
		var changed chan struct{}
		var err error
		doErr := g.do(ctx, func() { answer, changed, err = g.watchInLoop(w, arrived, last) })
		if doErr != nil {
			return nil, doErr
		}
		if err != nil {
			return nil, err
		}
		if answer != nil {
			return answer.encoded()
		}
		select {
		case <-changed:
		case <-deadline.C:
			last = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// watchInLoop returns the delta, or a channel that is closed when the caller should try again. The delta contains at least
// everything that the leader had committed when the watch arrived. last tells that the time to wait is over.
func (g *Group) watchInLoop(w *table.Watch, arrived time.Duration, last bool) (answer *cachedDelta, changed chan struct{}, err error) {
	fresh, err := g.upToDate(arrived)
	switch {
	case err != nil:
		return nil, nil, err
	case !fresh && last:
		return nil, nil, g.notLeading()
	case !fresh:
		return nil, waitOn(&g.watchers.confirmations), nil
	}
	current := w.Version == g.state.Version() && w.Digest == g.state.Digest()
	if current && !last {
		return nil, waitOn(&g.watchers.changes), nil
	}
	answer = g.deltaFor(w)
	if _, err = g.upToDate(arrived); err != nil {
		return nil, nil, err
	}
	return answer, nil, nil
}

// upToDate reports whether this host has applied everything that was committed at the given time. The leader knows by its
// lease; a follower knows by the leader's answer to a call made since (a read index). If there is no such answer yet, the
// next call to the leader is requested.
func (g *Group) upToDate(at time.Duration) (fresh bool, err error) {
	if !g.followsLeader() {
		_, err = g.servingLeader()
		return err == nil, err
	}
	f := &g.forwarder
	if f.confirmed.askedAt >= at {
		return g.state.Index() >= f.confirmed.index, nil
	}
	f.confirmFrom = max(f.confirmFrom, at)
	return false, nil
}
