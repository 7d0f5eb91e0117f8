package broker

import (
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
)

// hostShare is the share of the retries that the limits allow for a host's own requests which the host may use. The rest is a margin
// for retries that reach the upstream a little later than they were counted.
const hostShare = 0.95

// budget limits this host's retries by its own requests and its portion of the base. The retries of all hosts together then stay within
// the limits whichever host schedules slots: a scheduler that takes over does not know the retries that its predecessor granted within
// the window.
type budget struct {
	mutex   sync.Mutex
	limits  retry.Limits
	windows map[string]*retry.Window
}

func newBudget(l retry.Limits) *budget {
	return &budget{limits: l, windows: map[string]*retry.Window{}}
}

// window returns a service's window; the mutex must be held.
func (b *budget) window(service string) *retry.Window {
	w := b.windows[service]
	if w == nil {
		w = retry.NewWindow(b.limits, hostShare)
		b.windows[service] = w
	}
	return w
}

// request counts the first attempt of a request of a service.
func (b *budget) request(now time.Duration, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.window(service).Request(now)
}

// spend reports whether this host, one of the given number of hosts, may send one more retry for a service, and counts it.
func (b *budget) spend(now time.Duration, service string, hosts int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.window(service).Spend(now, 1/float64(max(hosts, 1)))
}

// refund takes back a retry that was counted and not sent.
func (b *budget) refund(now time.Duration, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.window(service).Refund(now)
}
