package broker

import (
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/route"
)

// staleProbe is how often one request is sent to an owner that has rejected its slice while the table still names it as the owner.
const staleProbe = 300 * time.Millisecond

// sliceKey identifies a slice of a service by the start of its hash range.
type sliceKey struct {
	service string
	start   uint64
}

// staleOwner is an upstream that rejected a request because it does not own the slice.
type staleOwner struct {
	upstream uint32
	fence    uint64
	at       time.Duration
}

// staleOwners records, for all requests of this host, which owners in the table no longer own their slices. A moved slice then costs
// one rejected attempt and not one for each request.
type staleOwners struct {
	mutex  sync.Mutex
	owners map[sliceKey]staleOwner
}

func newStaleOwners() *staleOwners { return &staleOwners{owners: map[sliceKey]staleOwner{}} }

// add records that an upstream does not own the slice that the table assigns to it.
func (s *staleOwners) add(now time.Duration, service string, h route.Holder) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.owners[sliceKey{service, h.Start}] = staleOwner{upstream: h.Upstream.Number, fence: h.Fence, at: now}
}

// skip reports whether an owner must not be sent requests because it has rejected the slice and its assignment has not changed since.
// An owner whose slice is not moving is tried again every staleProbe, as it may have rejected the slice before its grant arrived.
func (s *staleOwners) skip(now time.Duration, service string, h route.Holder) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := sliceKey{service, h.Start}
	o, ok := s.owners[key]
	switch {
	case !ok:
		return false
	case o.upstream != h.Upstream.Number || o.fence != h.Fence:
		delete(s.owners, key)
		return false
	case h.Moving:
		return true
	case now-o.at >= staleProbe:
		o.at = now
		s.owners[key] = o
		return false
	}
	return true
}

// sweep removes entries that are older than staleMemory.
func (s *staleOwners) sweep(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, o := range s.owners {
		if now-o.at > staleMemory {
			delete(s.owners, key)
		}
	}
}

// staleMemory is how long a stale owner is kept; moving a slice takes far less.
const staleMemory = 30 * time.Second
