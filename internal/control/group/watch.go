package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Bounds of watches.
const (
	maxWatchHold = 2 * time.Second
	maxPrepared  = 8
)

// watchers are calls that wait in the loop: for a newer version, or for the leader's word that this host is up to date.
type watchers struct {
	changes       []chan struct{}
	confirmations []chan struct{}
	seen          uint64
	confirmed     confirmation
	applied       uint64
}

func wake(waiting *[]chan struct{}) {
	for _, w := range *waiting {
		close(w)
	}
	*waiting = nil
}

func wait(waiting *[]chan struct{}) chan struct{} {
	w := make(chan struct{})
	*waiting = append(*waiting, w)
	return w
}

// wakeWatchers wakes the calls whose wait may be over.
func (g *Group) wakeWatchers() {
	w := &g.watchers
	if v := g.state.Version(); v != w.seen {
		w.seen = v
		wake(&w.changes)
	}
	if confirmed := g.forwarder.confirmed; confirmed != w.confirmed || g.state.Index() != w.applied {
		w.confirmed, w.applied = confirmed, g.state.Index()
		wake(&w.confirmations)
	}
}

// preparedDelta is a delta that several hosts get, encoded once.
type preparedDelta struct {
	delta   *table.Delta
	encoded func() (*wire.Encoded, error)
}

// deltaKey names a delta by what its receiver holds.
type deltaKey struct {
	version uint64
	digest  uint64
}

// preparedDeltas are the deltas that lead to one version.
type preparedDeltas struct {
	version uint64
	deltas  map[deltaKey]*preparedDelta
}

// prepare returns the delta from what a host holds; hosts that hold the same get the same.
func (g *Group) prepare(w *table.Watch) *preparedDelta {
	p := &g.prepared
	if p.deltas == nil || p.version != g.state.Version() || len(p.deltas) >= maxPrepared {
		p.version, p.deltas = g.state.Version(), map[deltaKey]*preparedDelta{}
	}
	key := deltaKey{version: w.Version, digest: w.Digest}
	if d := p.deltas[key]; d != nil {
		return d
	}
	delta := g.state.DeltaSince(w.Version, w.Digest)
	for _, m := range g.core.Members() {
		host := table.ControlHost{Address: m.Address, DataCentre: m.DataCentre}
		if !slices.Contains(delta.Control, host) { // a host that lost its disk is a member twice for a moment
			delta.Control = append(delta.Control, host)
		}
	}
	d := &preparedDelta{delta: &delta, encoded: sync.OnceValues(func() (*wire.Encoded, error) { return wire.Encode(delta) })}
	p.deltas[key] = d
	return d
}

// watch answers with what changed since a version, and waits a while where nothing did.
func (g *Group) watch(ctx context.Context, w *table.Watch) (*wire.Encoded, error) {
	deadline := time.NewTimer(min(w.MaxWait, maxWatchHold))
	defer deadline.Stop()
	arrived := g.now()
	for last := false; ; {
		var answer *preparedDelta
		var changed chan struct{}
		var err error
		doErr := g.do(ctx, func() { answer, changed, err = g.watchNow(w, arrived, last) })
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

// watchNow returns the delta, or a channel that closes when it is worth asking again. What it returns is no older than
// what the leader had committed when the watch arrived.
func (g *Group) watchNow(w *table.Watch, arrived time.Duration, last bool) (answer *preparedDelta, changed chan struct{}, err error) {
	fresh, err := g.upToDate(arrived)
	switch {
	case err != nil:
		return nil, nil, err
	case !fresh && last:
		return nil, nil, g.notLeading()
	case !fresh:
		return nil, wait(&g.watchers.confirmations), nil
	}
	current := w.Version == g.state.Version() && w.Digest == g.state.Digest()
	if current && !last {
		return nil, wait(&g.watchers.changes), nil
	}
	answer = g.prepare(w)
	if _, err = g.upToDate(arrived); err != nil {
		return nil, nil, err
	}
	return answer, nil, nil
}

// upToDate reports whether this host holds all that was committed at a time: as the leader, by its lease, or else by
// what the leader said in answer to a call made since.
func (g *Group) upToDate(at time.Duration) (fresh bool, err error) {
	if !g.follows() {
		_, err = g.leading()
		return err == nil, err
	}
	c := &g.forwarder
	if c.confirmed.askedAt >= at {
		return g.state.Index() >= c.confirmed.index, nil
	}
	c.wantedAt = max(c.wantedAt, at)
	return false, nil
}
