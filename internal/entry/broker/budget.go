package broker

import (
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
)

// hostShare is the part of what the terms allow for its own requests that a host's repeats may use; the rest covers sends that
// arrive a little later than they were counted.
const hostShare = 0.95

// budget bounds this host's repeats by its own requests and its portion of the base. What all hosts send then keeps the terms in
// sum, whoever deals: a dealer that takes over knows nothing of the repeats that another gave out within the window.
type budget struct {
	mutex   sync.Mutex
	terms   retry.Limits
	windows map[string]*retry.Window
}

func newBudget(t retry.Limits) *budget { return &budget{terms: t, windows: map[string]*retry.Window{}} }

// window returns a service's window; the mutex must be held.
func (g *budget) window(service string) *retry.Window {
	w := g.windows[service]
	if w == nil {
		w = retry.NewWindow(g.terms, hostShare)
		g.windows[service] = w
	}
	return w
}

// request counts a request of a service.
func (g *budget) request(now time.Duration, service string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.window(service).Request(now)
}

// spend reports whether one of so many hosts may send a request of a service once more, and counts it.
func (g *budget) spend(now time.Duration, service string, hosts int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.window(service).Spend(now, 1/float64(max(hosts, 1)))
}

// giveBack takes back a repeat that was not sent.
func (g *budget) giveBack(now time.Duration, service string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.window(service).Refund(now)
}
