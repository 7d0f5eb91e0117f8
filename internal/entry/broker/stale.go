package broker

import (
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/route"
)

// staleProbe is how often one request tries an owner that said it does not hold a slice, while the table names it still.
const staleProbe = 300 * time.Millisecond

// place names a slice of a service.
type place struct {
	service string
	start   uint64
}

// staleOwner is an owner that said it does not hold a slice.
type staleOwner struct {
	number uint32
	fence  uint64
	at     time.Duration
}

// staleOwners remembers for all requests of this host which owners have let slices go, so that each slice costs one try and not
// one for each request.
type staleOwners struct {
	mutex  sync.Mutex
	owners map[place]staleOwner
}

func newStaleOwners() *staleOwners { return &staleOwners{owners: map[place]staleOwner{}} }

// note takes in that a holder does not hold its slice.
func (s *staleOwners) note(now time.Duration, service string, h route.Holder) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.owners[place{service, h.Start}] = staleOwner{number: h.Upstream.Number, fence: h.Fence, at: now}
}

// holds reports whether a holder must be passed over: it has let the slice go, and the table has not changed since. One that is
// not handing the slice over is tried again now and then, as it may not have had its grant yet.
func (s *staleOwners) holds(now time.Duration, service string, h route.Holder) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := place{service, h.Start}
	o, ok := s.owners[key]
	switch {
	case !ok:
		return false
	case o.number != h.Upstream.Number || o.fence != h.Fence:
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

// sweep forgets what is long past.
func (s *staleOwners) sweep(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, o := range s.owners {
		if now-o.at > staleMemory {
			delete(s.owners, key)
		}
	}
}

// staleMemory is how long a stale owner is remembered; moves take far less.
const staleMemory = 30 * time.Second
