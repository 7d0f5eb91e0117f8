package memory

import (
	"cmp"
	"slices"
	"time"
)

// Limits of claims.
const (
	smallBytes   = 64 << 10        // largest small claim
	mediumBytes  = 1<<20 + 128<<10 // largest medium claim: a body of 1 MiB with its head and requestCost
	reserveShare = 0.25            // of the account, for small claims
	mediumShare  = 0.15            // of the account, for medium claims
	maxWait      = 5 * time.Second // for bytes, after which the request is refused
	// stallTime and minProgress are the slowest progress of a request that is kept while others wait: in each stallTime a part of
	// 1/minProgress of its size. A caller that sends a body evenly within the body timeouts of 10 and 30 s is twice as fast at least.
	stallTime   = 2 * time.Second
	minProgress = 32
	// silentTime replaces stallTime, for requests of which nothing at all is received, while others wait for more than the account's size.
	silentTime = 500 * time.Millisecond
	// turnTime is how long a claim that needs more than its class may hold waits before medium claims wait for it.
	turnTime = time.Second
)

// class is a group of claims that wait for memory in the order of their arrival. Claims of one class do not wait for those of another.
type class int

const (
	classLarge class = iota
	classMedium
	classSmall
	classAhead // claims, other than large ones, of requests that were sent before an earlier one of their connection was answered
	classes
)

// Claim is the memory of one request.
type Claim struct {
	held    int64
	wants   int64
	since   time.Duration // when the wait for the wanted bytes began
	marked  time.Duration // when the present window of progress began
	heard   time.Duration // when bytes were last received
	moved   int64         // bytes received in the window
	ahead   bool
	reading bool
	evicted bool
	refused bool
	closed  bool
	notify  func(evicted bool)
}

// Account decides which requests may take memory. Of the size, shares are reserved for small and for medium claims. A single claim may
// exceed the size if there is no other one above the small ones, so that each request within its own limits can be served.
type Account struct {
	size    int64
	held    int64
	parts   [classes]int64 // held by the claims of each size; classAhead is none
	claims  map[*Claim]struct{}
	waiting []*Claim
}

// NewAccount returns an empty account.
func NewAccount(size int64) *Account { return &Account{size: size, claims: map[*Claim]struct{}{}} }

// Held returns the bytes that are claimed.
func (a *Account) Held() int64 { return a.held }

// Requests returns how many requests hold memory.
func (a *Account) Requests() (n int) {
	for c := range a.claims {
		if c.held > 0 {
			n++
		}
	}
	return n
}

// Open adds a claim of zero bytes for a request that is being read; ahead says that an earlier request of its connection is not answered.
func (a *Account) Open(now time.Duration, ahead bool) *Claim {
	c := &Claim{marked: now, heard: now, ahead: ahead, reading: true}
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
	if !a.isBlocked(c, bytes) && a.fits(c, bytes, now) {
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
	c.heard = now
	if c.moved += bytes; c.moved >= c.held/minProgress {
		c.marked, c.moved = now, 0
	}
}

// Complete notes that a request was read completely and keeps its claim until Release. Such a claim is never evicted.
func (a *Account) Complete(c *Claim) { c.reading = false }

// Next notes that all earlier requests of a claim's connection are answered. Its wait as a request of its own begins then.
func (a *Account) Next(c *Claim, now time.Duration) { c.ahead, c.since = false, now }

// Fits reports whether more bytes of a claim fit at once, with some left for the first requests of others.
func (a *Account) Fits(c *Claim, bytes int64) bool {
	return c.closed || a.held+bytes <= a.size-a.share(reserveShare)
}

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
		if c.refused = now-c.since >= maxWait && !c.ahead; c.refused {
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
	var blocked [classes]bool
	a.waiting = slices.DeleteFunc(a.waiting, func(c *Claim) bool {
		own := &blocked[c.class(c.wants)]
		if *own = *own || !a.fits(c, c.wants, now); *own {
			return false
		}
		a.Grow(c, c.wants)
		c.wants, c.marked, c.heard, c.moved = 0, now, now, 0
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
	crowded := needed > a.size
	for c := range a.claims {
		stalled := now-c.marked >= stallTime || crowded && now-c.heard >= silentTime
		if c.reading && !c.evicted && c.wants == 0 && c.held > 0 && stalled {
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
	return slices.ContainsFunc(a.waiting, func(w *Claim) bool { return w.class(w.wants) == c.class(bytes) })
}

// fits reports whether there is room for more bytes of a claim.
func (a *Account) fits(c *Claim, bytes int64, now time.Duration) bool {
	others := a.parts[classLarge] + a.parts[classMedium] - c.part(classLarge) - c.part(classMedium)
	forSmall, next := a.share(reserveShare), c.held+bytes
	fits := others == 0 || others+next <= a.size-forSmall && a.held+bytes <= a.size
	switch c.class(bytes) {
	case classAhead:
		return a.held+bytes <= a.size-forSmall-a.share(mediumShare) && !a.isOversizeDue(now)
	case classSmall:
		return a.held+bytes <= a.size || a.parts[classSmall]+bytes <= forSmall
	case classMedium:
		return fits && !a.isOversizeDue(now)
	}
	largest := a.size - forSmall - a.share(mediumShare)
	return fits && (others == 0 || a.parts[classLarge]-c.part(classLarge)+next <= largest)
}

func (a *Account) share(of float64) int64 { return int64(of * float64(a.size)) }

// isOversizeDue reports whether a claim has waited for turnTime that fits only when there is no other large or medium one.
func (a *Account) isOversizeDue(now time.Duration) bool {
	largest := a.size - a.share(reserveShare) - a.share(mediumShare)
	return slices.ContainsFunc(a.waiting, func(w *Claim) bool { return w.held+w.wants > largest && now-w.since >= turnTime })
}

// set changes the bytes of a claim. A released claim stays empty: a read may end after the request that it belonged to.
func (a *Account) set(c *Claim, bytes int64) {
	if c.closed {
		return
	}
	a.parts[sizeClass(c.held)] -= c.held
	a.held += bytes - c.held
	c.held = bytes
	a.parts[sizeClass(bytes)] += bytes
}

func (a *Account) remove(c *Claim) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *Claim) bool { return w == c })
}

// class returns the class in which a claim waits for more bytes.
func (c *Claim) class(more int64) class {
	own := sizeClass(c.held + more)
	if c.ahead && own != classLarge {
		return classAhead
	}
	return own
}

// part returns what a claim holds if it belongs to a class of sizes, and zero otherwise.
func (c *Claim) part(of class) int64 {
	if sizeClass(c.held) == of {
		return c.held
	}
	return 0
}

func sizeClass(bytes int64) class {
	switch {
	case bytes <= smallBytes:
		return classSmall
	case bytes <= mediumBytes:
		return classMedium
	}
	return classLarge
}
