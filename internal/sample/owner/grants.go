package owner

import (
	"sort"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Grants are the runs of hashes that the upstream holds while its lease lasts.
type Grants struct {
	mutex    sync.Mutex
	grants   []table.Grant
	version  uint64
	held     uint64
	leaseEnd time.Time
	running  map[uint64]*run
	nextRun  uint64
}

// run is one request that is being served.
type run struct {
	hash  uint64
	fence uint64
}

// NewGrants returns no grants.
func NewGrants() *Grants { return &Grants{running: map[uint64]*run{}} }

// Apply takes in an answer to the announcement that was sent at a time; the lease counts from then.
func (g *Grants) Apply(a table.GrantResponse, sentAt time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if a.Version < g.version {
		return
	}
	if a.Changed {
		g.grants = a.Grants
		g.version = a.Version
	}
	g.leaseEnd = sentAt.Add(time.Duration(a.LeaseMillis) * time.Millisecond)
}

// Clear drops all grants, as after the end of the incarnation.
func (g *Grants) Clear() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.grants, g.version, g.held, g.leaseEnd = nil, 0, 0, time.Time{}
}

// Acked returns the version to acknowledge: the one adopted, once no request runs under a grant that it took away.
func (g *Grants) Acked() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, r := range g.running {
		if fence, ok := g.find(r.hash); !ok || fence != r.fence {
			return g.held
		}
	}
	g.held = g.version
	return g.held
}

// Len returns the number of runs of hashes that are held.
func (g *Grants) Len() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.grants)
}

// Begin reports whether a request with the hash and fence may run now; end must be called after it.
func (g *Grants) Begin(hash, fence uint64, now time.Time) (end func(), ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	current, found := g.find(hash)
	if !found || current != fence || !now.Before(g.leaseEnd) {
		return nil, false
	}
	return g.track(hash, fence), true
}

// Holds reports whether the hash is held with the fence now.
func (g *Grants) Holds(hash, fence uint64, now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	current, found := g.find(hash)
	return found && current == fence && now.Before(g.leaseEnd)
}

// BeginUnchecked lets a request run whatever its fence, as an upstream that checks nothing does.
func (g *Grants) BeginUnchecked(hash, fence uint64) (end func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.track(hash, fence)
}

func (g *Grants) track(hash, fence uint64) (end func()) {
	id := g.nextRun
	g.nextRun++
	g.running[id] = &run{hash: hash, fence: fence}
	return func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		delete(g.running, id)
	}
}

func (g *Grants) find(hash uint64) (fence uint64, ok bool) {
	i := sort.Search(len(g.grants), func(i int) bool { return g.grants[i].To >= hash })
	if i == len(g.grants) || g.grants[i].From > hash {
		return 0, false
	}
	return g.grants[i].Fence, true
}
