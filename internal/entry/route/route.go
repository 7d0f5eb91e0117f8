package route

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Target is where a request goes by one version of the table.
type Target struct {
	version  uint64
	start    uint64
	fence    uint64
	upstream table.Upstream
	home     table.EntryHost
	owned    bool
}

// Version returns the version of the table that the target was found by.
func (t Target) Version() uint64 { return t.version }

// Start returns where the slice starts.
func (t Target) Start() uint64 { return t.start }

// Fence returns the fence of the slice.
func (t Target) Fence() uint64 { return t.fence }

// Upstream returns the owner.
func (t Target) Upstream() table.Upstream { return t.upstream }

// Home returns the entry host that queues for the owner.
func (t Target) Home() table.EntryHost { return t.home }

// Owned reports whether the slice has an owner and an entry host queues for it; otherwise the request must wait.
func (t Target) Owned() bool { return t.owned }

// ErrTooManyParked is returned when too many requests wait for an owner already.
type ErrTooManyParked struct{}

// Error returns the message.
func (e *ErrTooManyParked) Error() string { return "too many requests wait for an owner" }

// Table is the entry host's current view; it is safe for concurrent use.
type Table struct {
	view      atomic.Pointer[table.View]
	maxParked int64
	parked    atomic.Int64
	mutex     sync.Mutex
	changed   chan struct{}
	flights   map[uint64]int
	self      string
	tenure    tenure
}

// NewTable returns an empty table for the named entry host that lets at most maxParked requests wait.
func NewTable(self string, maxParked int) *Table {
	t := &Table{self: self, maxParked: int64(maxParked), changed: make(chan struct{}), flights: map[uint64]int{},
		tenure: newTenure()}
	t.view.Store(table.NewView())
	return t
}

// View returns the view in force.
func (t *Table) View() *table.View { return t.view.Load() }

// Apply brings the view forward by a delta and wakes requests that wait.
func (t *Table) Apply(d table.Delta) (err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next, err := t.view.Load().Apply(d)
	if err != nil {
		return err
	}
	t.tenure.note(next, t.self, time.Now())
	t.view.Store(next)
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

// Find returns where a request for the hash goes by the view.
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

// Holder is the upstream that holds a hash; one that hands the slice over still counts, as it serves until it has let go.
type Holder struct {
	Upstream table.Upstream
	Start    uint64
	Fence    uint64
	Moving   bool
	Known    bool
}

// Owner returns the upstream that holds the hash by the view.
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

// Find returns where a request for the hash goes now.
func (t *Table) Find(service string, hash uint64) Target { return Find(t.view.Load(), service, hash) }

// Await waits until the table is newer than the version or the context ends.
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

// Parked returns how many requests wait for a newer table.
func (t *Table) Parked() int64 { return t.parked.Load() }

// BeginRequest notes a request that is about to be sent by a version, if that is still the newest; the target is void
// otherwise. Arrive must follow once it has ended.
func (t *Table) BeginRequest(version uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.view.Load().Version() != version {
		return false
	}
	t.flights[version]++
	return true
}

// EndRequest notes that a request sent by the version has ended.
func (t *Table) EndRequest(version uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.flights[version]--; t.flights[version] <= 0 {
		delete(t.flights, version)
	}
}

// OldestInFlight returns the oldest version that a request in flight was sent by, or the version in force.
func (t *Table) OldestInFlight() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	oldest := t.view.Load().Version()
	for version := range t.flights {
		oldest = min(oldest, version)
	}
	return oldest
}

// HomeSince returns when this host began to be asked for the target's slice.
func (t *Table) HomeSince(target Target) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.tenure.since(target.fence, target.upstream.Number)
}
