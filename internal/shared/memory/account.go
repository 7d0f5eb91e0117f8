package memory

import (
	"cmp"
	"slices"
	"time"
)

// Limits of claims.
const (
	smallBytes   = 64 << 10        // a claim up to this size may use the reserve
	reserveShare = 0.25            // of the account, for small claims
	maxWait      = 5 * time.Second // for bytes, after which the request is refused
	// stallTime and minProgress are the slowest progress of a request that is kept while others wait: in each stallTime a part of
	// 1/minProgress of its size. A caller that sends a body evenly within the body timeouts of 10 and 30 s is twice as fast at least.
	stallTime   = 2 * time.Second
	minProgress = 32
)

// Claim is the memory of one request.
type Claim struct {
	held    int64
	wants   int64
	since   time.Duration // when the wait for the wanted bytes began
	marked  time.Duration // when the present window of progress began
	moved   int64         // bytes received in the window
	reading bool
	evicted bool
	refused bool
	closed  bool
	notify  func(evicted bool)
}

// Account decides which requests may take memory. Of the size, a share is reserved for small claims. A single claim may exceed the size
// if there is no other large one, so that each request within its own limits can be served.
type Account struct {
	size    int64
	held    int64
	small   int64 // part of held that belongs to small claims
	claims  map[*Claim]struct{}
	waiting []*Claim
}

// NewAccount returns an empty account.
func NewAccount(size int64) *Account { return &Account{size: size, claims: map[*Claim]struct{}{}} }

// Held returns the bytes that are claimed.
func (a *Account) Held() int64 { return a.held }

// Open adds a claim of zero bytes for a request that is being read.
func (a *Account) Open(now time.Duration) *Claim {
	c := &Claim{marked: now, reading: true}
	a.claims[c] = struct{}{}
	return c
}

// Ask adds bytes to a claim and reports whether they were granted; otherwise the claim waits for them.
func (a *Account) Ask(c *Claim, bytes int64, now time.Duration) (granted bool) {
	switch {
	case c.closed:
		return true
	case c.evicted || c.refused:
		return false
	}
	if !a.isBlocked(c, bytes) && a.fits(c, bytes) {
		a.Grow(c, bytes)
		return true
	}
	c.wants, c.since = bytes, now
	a.waiting = append(a.waiting, c)
	return false
}

// Grow adds bytes to a claim that are in memory already.
func (a *Account) Grow(c *Claim, bytes int64) { a.set(c, c.held+bytes) }

// Progress notes that bytes of a request were received.
func (a *Account) Progress(c *Claim, bytes int64, now time.Duration) {
	if c.moved += bytes; c.moved >= c.held/minProgress {
		c.marked, c.moved = now, 0
	}
}

// Complete notes that a request was read completely and keeps its claim until Release. Such a claim is never evicted.
func (a *Account) Complete(c *Claim) { c.reading = false }

// Resize sets the bytes of a claim.
func (a *Account) Resize(c *Claim, bytes int64) { a.set(c, bytes) }

// Release removes a claim.
func (a *Account) Release(c *Claim) {
	a.set(c, 0)
	c.closed = true
	delete(a.claims, c)
	a.remove(c)
}

// Evict ends the wait of a claim, which gets no more bytes.
func (a *Account) Evict(c *Claim) {
	c.evicted = true
	a.remove(c)
}

// Step grants what fits now, and returns the claims that got their bytes, those that waited for too long, and those that are evicted
// because they make less than the minimum progress while others wait.
func (a *Account) Step(now time.Duration) (granted, refused, evicted []*Claim) {
	granted = a.Grant(now)
	a.waiting = slices.DeleteFunc(a.waiting, func(c *Claim) bool {
		if c.refused = now-c.since >= maxWait; c.refused {
			refused = append(refused, c)
		}
		return c.refused
	})
	if len(refused) > 0 {
		granted = append(granted, a.Grant(now)...)
	}
	return granted, refused, a.evict(now)
}

// Grant gives the waiting claims of each class their bytes in order, up to the first that does not fit, and returns those that got them.
func (a *Account) Grant(now time.Duration) (granted []*Claim) {
	var blocked [2]bool // large and small claims
	a.waiting = slices.DeleteFunc(a.waiting, func(c *Claim) bool {
		class := &blocked[0]
		if isSmall(c.held + c.wants) {
			class = &blocked[1]
		}
		if *class = *class || !a.fits(c, c.wants); *class {
			return false
		}
		a.Grow(c, c.wants)
		c.wants, c.marked, c.moved = 0, now, 0
		granted = append(granted, c)
		return true
	})
	return granted
}

// evict marks the claims without progress, those with the longest stall first, until they cover what is waited for.
func (a *Account) evict(now time.Duration) (evicted []*Claim) {
	needed := int64(0)
	for _, c := range a.waiting {
		needed += c.wants
	}
	if needed == 0 {
		return nil
	}
	for c := range a.claims {
		if c.reading && !c.evicted && c.wants == 0 && c.held > 0 && now-c.marked >= stallTime {
			evicted = append(evicted, c)
		}
		if c.evicted {
			needed -= c.held
		}
	}
	slices.SortFunc(evicted, func(x, y *Claim) int { return cmp.Compare(x.marked, y.marked) })
	for i, c := range evicted {
		if needed <= 0 {
			return evicted[:i]
		}
		c.evicted = true
		needed -= c.held
	}
	return evicted
}

// isBlocked reports whether a claim of the same class waits already.
func (a *Account) isBlocked(c *Claim, bytes int64) bool {
	return slices.ContainsFunc(a.waiting, func(w *Claim) bool { return isSmall(w.held+w.wants) == isSmall(c.held+bytes) })
}

// fits reports whether there is room for more bytes of a claim.
func (a *Account) fits(c *Claim, bytes int64) bool {
	reserve := int64(reserveShare * float64(a.size))
	if isSmall(c.held + bytes) {
		return a.held+bytes <= a.size || a.small+bytes <= reserve
	}
	large := a.held - a.small
	if isSmall(c.held) {
		large += c.held
	}
	return large == c.held || large+bytes <= a.size-reserve && a.held+bytes <= a.size
}

// set changes the bytes of a claim. A released claim stays empty: a read may end after the request that it belonged to.
func (a *Account) set(c *Claim, bytes int64) {
	if c.closed {
		return
	}
	if isSmall(c.held) {
		a.small -= c.held
	}
	a.held += bytes - c.held
	if c.held = bytes; isSmall(bytes) {
		a.small += bytes
	}
}

func (a *Account) remove(c *Claim) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *Claim) bool { return w == c })
}

func isSmall(bytes int64) bool { return bytes <= smallBytes }
