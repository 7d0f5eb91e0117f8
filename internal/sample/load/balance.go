package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Readiness checks of the balancer.
const (
	checkPeriod  = 200 * time.Millisecond
	checkTimeout = 150 * time.Millisecond
)

// Entry holds the addresses of one entry host.
type Entry struct {
	Callers string // address for callers' requests
	Admin   string // address of /readyz
}

// balancer picks ready entry hosts. It takes the place of the load balancer that a platform runs in front of the entry hosts.
type balancer struct {
	mutex   sync.Mutex
	entries []Entry
	ready   []bool
	client  *http.Client
}

func newBalancer(entries []Entry) *balancer {
	b := &balancer{entries: entries, ready: make([]bool, len(entries)), client: &http.Client{Timeout: checkTimeout}}
	b.checkAll()
	return b
}

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.checkAll()
		time.Sleep(checkPeriod)
	}
}

func (b *balancer) checkAll() {
	var wait sync.WaitGroup
	for i, e := range b.entries {
		wait.Go(func() { b.setReady(i, b.check(e)) })
	}
	wait.Wait()
}

func (b *balancer) check(e Entry) bool {
	response, err := b.client.Get("http://" + e.Admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *balancer) setReady(i int, ready bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ready[i] = ready
}

// pick returns the index and the callers' address of a random ready entry host, or of any entry host if none is ready.
func (b *balancer) pick() (i int, callers string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	start := rand.IntN(len(b.entries))
	for k := range b.entries {
		if i = (start + k) % len(b.entries); b.ready[i] {
			return i, b.entries[i].Callers
		}
	}
	return start, b.entries[start].Callers
}
