package owner

import (
	"sort"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Grants is the set of key hash ranges that the upstream owns until its lease expires. version is the version of the
// grants, acked the last version that may be acknowledged. active holds the requests being served, by an id.
type Grants struct {
	mutex    sync.Mutex
	grants   []table.Grant
	version  uint64
	acked    uint64
	leaseEnd time.Time
	active   map[uint64]*activeRequest
	nextID   uint64
}

// activeRequest is a request being served.
type activeRequest struct {
	hash  uint64
	fence uint64
}

// NewGrants returns an empty set without a lease.
func NewGrants() *Grants { return &Grants{active: map[uint64]*activeRequest{}} }

// Apply applies the response to an announcement. The lease starts at sentAt, the time when the announcement was sent.
// Responses older than the current version are ignored.
func (g *Grants) Apply(response table.GrantResponse, sentAt time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if response.Version < g.version {
		return
	}
	if response.Changed {
		g.grants = response.Grants
		g.version = response.Version
	}
	g.leaseEnd = sentAt.Add(time.Duration(response.LeaseMillis) * time.Millisecond)
}

// Clear removes all grants and the lease. It is called when the incarnation has ended.
func (g *Grants) Clear() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.grants, g.version, g.acked, g.leaseEnd = nil, 0, 0, time.Time{}
}

// Acked returns the version of the grants to acknowledge. It stays at the version acknowledged before while a request runs
// under a grant that the current version has revoked or changed: the next owner must not start before that request ends.
func (g *Grants) Acked() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, r := range g.active {
		if fence, ok := g.find(r.hash); !ok || fence != r.fence {
			return g.acked
		}
	}
	g.acked = g.version
	return g.acked
}

// Len returns the number of ranges granted.
func (g *Grants) Len() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.grants)
}

// Begin reports whether a request with the key hash and fencing token may run now. If so, the request counts as running
// until end is called.
func (g *Grants) Begin(hash, fence uint64, now time.Time) (end func(), ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	current, found := g.find(hash)
	if !found || current != fence || !now.Before(g.leaseEnd) {
		return nil, false
	}
	return g.track(hash, fence), true
}

// Holds reports whether the key hash is granted with the fencing token and the lease has not expired.
func (g *Grants) Holds(hash, fence uint64, now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	current, found := g.find(hash)
	return found && current == fence && now.Before(g.leaseEnd)
}

// BeginUnchecked counts a request as running until end is called, without a check of its fencing token.
func (g *Grants) BeginUnchecked(hash, fence uint64) (end func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.track(hash, fence)
}

func (g *Grants) track(hash, fence uint64) (end func()) {
	id := g.nextID
	g.nextID++
	g.active[id] = &activeRequest{hash: hash, fence: fence}
	return func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		delete(g.active, id)
	}
}

// find returns the fencing token of the range that contains the hash; the ranges are sorted and do not overlap.
func (g *Grants) find(hash uint64) (fence uint64, ok bool) {
	i := sort.Search(len(g.grants), func(i int) bool { return g.grants[i].To >= hash })
	if i == len(g.grants) || g.grants[i].From > hash {
		return 0, false
	}
	return g.grants[i].Fence, true
}
