package route

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Target is the destination of a request according to one version of the table.
type Target struct {
	version  uint64
	start    uint64
	fence    uint64
	upstream table.Upstream
	home     table.EntryHost
	owned    bool
}

// Version returns the version of the table in which the target was found.
func (t Target) Version() uint64 { return t.version }

// Start returns the start of the slice in the hash space.
func (t Target) Start() uint64 { return t.start }

// Fence returns the fencing token of the slice.
func (t Target) Fence() uint64 { return t.fence }

// Upstream returns the upstream that owns the slice.
func (t Target) Upstream() table.Upstream { return t.upstream }

// Home returns the entry host that queues requests for the owner.
func (t Target) Home() table.EntryHost { return t.home }

// Owned reports whether the slice has an owner and the owner has a home. Otherwise the request must wait for a newer table.
func (t Target) Owned() bool { return t.owned }

// ErrTooManyParked is returned when the limit of parked requests is reached.
type ErrTooManyParked struct{}

// Error returns the message.
func (e *ErrTooManyParked) Error() string { return "too many requests are waiting for an owner" }

// Table is the entry host's current view of the routing table. It is safe for concurrent use.
type Table struct {
	view      atomic.Pointer[table.View]
	maxParked int64
	parked    atomic.Int64
	mutex     sync.Mutex
	changed   chan struct{}
	inFlight  map[uint64]int
	self      string
	homes     homeHistory
}

// NewTable returns an empty table for the entry host named self, with at most maxParked parked requests.
func NewTable(self string, maxParked int) *Table {
	t := &Table{self: self, maxParked: int64(maxParked), changed: make(chan struct{}), inFlight: map[uint64]int{},
		homes: newHomeHistory()}
	t.view.Store(table.NewView())
	return t
}

// View returns the current view.
func (t *Table) View() *table.View { return t.view.Load() }

// Apply updates the view by a delta and wakes parked requests.
func (t *Table) Apply(d table.Delta) (err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next, err := t.view.Load().Apply(d)
	if err != nil {
		return err
	}
	t.homes.record(next, t.self, time.Now())
	t.view.Store(next)
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

// Find returns the target of a request for the hash according to the view.
func Find(v *table.View, service string, hash uint64) (target Target) {
	target.version = v.Version()
	set, ok := v.Set(service)
	if !ok {
		return target
	}
	s := set.Find(hash)
	target.start, target.fence = s.Start, s.Fence
	if s.Owner == 0 || s.Moving() {
		return target
	}
	if target.upstream, ok = v.Upstream(s.Owner); !ok {
		return target
	}
	target.home, target.owned = v.Home(s.Owner)
	return target
}

// Holder is the upstream that holds a hash. During a handover, Moving is set and Upstream is still the old owner, because it
// serves requests until it has released the slice. Known reports whether there is such an upstream.
type Holder struct {
	Upstream table.Upstream
	Start    uint64
	Fence    uint64
	Moving   bool
	Known    bool
}

// Owner returns the upstream that holds the hash according to the view.
func Owner(v *table.View, service string, hash uint64) (h Holder) {
	set, ok := v.Set(service)
	if !ok {
		return h
	}
	s := set.Find(hash)
	h.Start, h.Fence, h.Moving = s.Start, s.Fence, s.Moving()
	h.Upstream, h.Known = v.Upstream(s.Owner)
	return h
}

// Find returns the target of a request for the hash according to the current view.
func (t *Table) Find(service string, hash uint64) Target { return Find(t.view.Load(), service, hash) }

// Await parks a request until the table is newer than the version or the context ends. It returns ErrTooManyParked if too many
// are parked.
func (t *Table) Await(ctx context.Context, version uint64) (err error) {
	if t.parked.Add(1) > t.maxParked {
		t.parked.Add(-1)
		return &ErrTooManyParked{}
	}
	defer t.parked.Add(-1)
	for {
		t.mutex.Lock()
		changed, newer := t.changed, t.view.Load().Version() > version
		t.mutex.Unlock()
		if newer {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// AwaitService waits until the slices of a service differ from the digest or the context ends.
func (t *Table) AwaitService(ctx context.Context, service string, digest uint64) {
	for ctx.Err() == nil {
		t.mutex.Lock()
		changed, view := t.changed, t.view.Load()
		t.mutex.Unlock()
		if view.ServiceDigest(service) != digest {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Parked returns the number of parked requests.
func (t *Table) Parked() int64 { return t.parked.Load() }

// BeginRequest counts a request as in flight if it was routed by the current version of the table. If the version is outdated it
// returns false, and the request must be routed again. EndRequest must be called once the request has ended.
func (t *Table) BeginRequest(version uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.view.Load().Version() != version {
		return false
	}
	t.inFlight[version]++
	return true
}

// EndRequest stops counting a request of the given version as in flight.
func (t *Table) EndRequest(version uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.inFlight[version]--; t.inFlight[version] <= 0 {
		delete(t.inFlight, version)
	}
}

// OldestInFlight returns the oldest version by which a request in flight was routed, or the current version if there is none.
func (t *Table) OldestInFlight() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	oldest := t.view.Load().Version()
	for version := range t.inFlight {
		oldest = min(oldest, version)
	}
	return oldest
}

// HomeSince returns the time since when this host has been the home for the target's slice. Before that time,
// requests for the slice may have been routed through another host.
func (t *Table) HomeSince(target Target) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.homes.since(target.fence, target.upstream.Number)
}
