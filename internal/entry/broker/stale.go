package broker

import (
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/route"
)

// Times between requests to an owner that has rejected its slice while the table still names it as the owner. The time doubles with each
// rejection.
const (
	staleProbe    = 300 * time.Millisecond
	maxStaleProbe = 5 * time.Second
)

// minMisdirections is the number of rejections in a row after which an upstream is taken for another process at the same address.
const minMisdirections = 3

// probePause returns the time until the next request to an owner that has rejected the given number of requests.
func probePause(rejections int) time.Duration {
	return min(staleProbe<<min(max(rejections-1, 0), 8), maxStaleProbe)
}

// sliceKey identifies a slice of a service by the start of its hash range.
type sliceKey struct {
	service string
	start   uint64
}

// staleOwner is an upstream that rejected requests because it does not own the slice. at is the time of the last request.
type staleOwner struct {
	upstream   uint32
	fence      uint64
	at         time.Duration
	rejections int
}

// misdirection counts the requests that an upstream has rejected in a row, for whatever slice.
type misdirection struct {
	at         time.Duration
	rejections int
}

// staleOwners records, for all requests of this host, which owners in the table no longer own their slices, and which upstreams reject
// every request. A moved slice, or another process at an upstream's address, then costs few rejected attempts and not one for each
// request. A host that control cannot reach keeps such owners in its table for long.
type staleOwners struct {
	mutex         sync.Mutex
	owners        map[sliceKey]staleOwner
	misdirections map[uint32]misdirection
}

func newStaleOwners() *staleOwners {
	return &staleOwners{owners: map[sliceKey]staleOwner{}, misdirections: map[uint32]misdirection{}}
}

// add records that an upstream does not own the slice that the table assigns to it.
func (s *staleOwners) add(now time.Duration, service string, h route.Holder) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key, number := sliceKey{service, h.Start}, h.Upstream.Number
	o := s.owners[key]
	if o.upstream != number || o.fence != h.Fence {
		o = staleOwner{upstream: number, fence: h.Fence}
	}
	o.at, o.rejections = now, o.rejections+1
	s.owners[key] = o
	m := s.misdirections[number]
	s.misdirections[number] = misdirection{at: now, rejections: m.rejections + 1}
}

// accepted records that an upstream has not rejected a request as misdirected.
func (s *staleOwners) accepted(number uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.misdirections, number)
}

// skip reports whether an owner must not be sent requests because it has rejected the slice and its assignment has not changed since, or
// because it rejects everything. It is tried again after a pause, as it may have rejected the slice before its grant arrived; a slice that
// is moving is left alone.
func (s *staleOwners) skip(now time.Duration, service string, h route.Holder) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key, number := sliceKey{service, h.Start}, h.Upstream.Number
	o, stale := s.owners[key]
	if stale && (o.upstream != number || o.fence != h.Fence) {
		delete(s.owners, key)
		stale = false
	}
	m := s.misdirections[number]
	misdirects := m.rejections >= minMisdirections
	switch {
	case stale && (h.Moving || now-o.at < probePause(o.rejections)):
		return true
	case misdirects && now-m.at < probePause(m.rejections-minMisdirections+1):
		return true
	}
	if stale {
		o.at = now
		s.owners[key] = o
	}
	if misdirects {
		m.at = now
		s.misdirections[number] = m
	}
	return false
}

// sweep removes entries without a request for staleMemory.
func (s *staleOwners) sweep(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, o := range s.owners {
		if now-o.at > staleMemory {
			delete(s.owners, key)
		}
	}
	for number, m := range s.misdirections {
		if now-m.at > staleMemory {
			delete(s.misdirections, number)
		}
	}
}

// staleMemory is how long a stale owner is kept; moving a slice takes far less.
const staleMemory = 30 * time.Second
