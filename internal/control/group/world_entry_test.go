package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// fakeEntry is an entry host: it follows the table, passes announcements on and sends requests.
type fakeEntry struct {
	world    *world
	name     string
	clock    driftingClock
	host     table.EntryHost
	view     *table.View
	control  int
	leaseEnd time.Duration
	flights  map[uint64]int
	life     int
}

func (w *world) addEntry(i int) {
	e := &fakeEntry{world: w, name: fmt.Sprintf("entry%d", i), clock: w.newClock()}
	w.entries = append(w.entries, e)
	e.start()
}

// start makes a process that knows nothing.
func (e *fakeEntry) start() {
	e.life++
	e.view, e.flights, e.leaseEnd = table.NewView(), map[uint64]int{}, 0
	e.host = table.EntryHost{Name: e.name, Incarnation: uint64(e.world.now) + 1, Address: e.name, DataCentre: "dc"}
	e.renewLater(e.life)
	e.watchLater(e.life)
}

func (e *fakeEntry) renewLater(life int) {
	e.world.in(e.name, 200*time.Millisecond, func() {
		if e.life == life {
			e.renew(nil, nil)
			e.renewLater(life)
		}
	})
}

func (e *fakeEntry) oldest() uint64 {
	oldest := e.view.Version()
	for v, n := range e.flights {
		if n > 0 {
			oldest = min(oldest, v)
		}
	}
	return oldest
}

// renew makes one renewal, with an announcement if there is one.
func (e *fakeEntry) renew(a *table.Announcement, answer func(table.GrantResponse)) {
	r := table.Renewal{Host: e.host, Applied: e.view.Version(), Oldest: e.oldest()}
	if a != nil {
		r.Announcements = append(r.Announcements, *a)
	}
	e.renewAt(r, e.clock.now(), e.life, 0, answer)
}

// aged returns the renewal with the time since it was made.
func (e *fakeEntry) aged(r table.Renewal, since time.Duration) table.Renewal {
	r.Announcements = table.AddAge(r.Announcements, e.clock.now()-since)
	return r
}

// renewTries is how many hosts a renewal is tried at.
const renewTries = 6

// renewAt tries a renewal at a host, and then where that one points to or at the next.
func (e *fakeEntry) renewAt(r table.Renewal, sentAt time.Duration, life, tries int, answer func(table.GrantResponse)) {
	tried := e.control
	h := e.world.hosts[tried%len(e.world.hosts)]
	sent := e.aged(r, sentAt)
	ask(e.world, e.name, h, func(g *Group, answer func(*table.RenewalResponse, error)) { g.renewOrForward(&sent, answer) }, func(got *table.RenewalResponse, err error) {
		if e.life != life {
			return
		}
		if err != nil {
			e.turn(tried, err)
			if tries < renewTries {
				e.renewAt(r, sentAt, life, tries+1, answer)
			}
			return
		}
		if got.Joined {
			e.leaseEnd = max(e.leaseEnd, sentAt+time.Duration(got.LeaseMillis)*time.Millisecond)
		}
		if answer != nil && len(got.Grants) == 1 {
			answer(got.Grants[0])
		}
	})
}

// turn goes away from a host that did not help, to the one that it points to or else to the next.
func (e *fakeEntry) turn(tried int, err error) {
	if e.control != tried {
		return
	}
	e.control++
	var hint *wire.ErrNoLeader
	if errors.As(err, &hint) && hint.Leader != "" {
		e.control = slices.IndexFunc(e.world.hosts, func(h *fakeHost) bool { return h.name == hint.Leader })
	}
}

func (e *fakeEntry) watchLater(life int) {
	e.world.in(e.name, 60*time.Millisecond, func() {
		if e.life == life {
			e.watch(life)
			e.watchLater(life)
		}
	})
}

func (e *fakeEntry) watch(life int) {
	askedAt, held := e.world.now, e.view
	q := &table.Watch{Name: e.name, Version: held.Version(), Digest: held.Digest()}
	h := e.world.hosts[e.control%len(e.world.hosts)]
	ask(e.world, e.name, h, func(g *Group, answer func(*table.Delta, error)) { h.watch(q, g.now(), h.life, answer) }, func(d *table.Delta, err error) {
		if err != nil || e.life != life || e.view != held {
			return
		}
		next, err := e.view.Apply(*d)
		if err != nil {
			e.world.breach("%s refuses a delta: %v", e.name, err)
			return
		}
		e.adopt(next, askedAt)
	})
}

// watchPoll is how often a watch that waits looks again, and watchPatience how long it waits.
const (
	watchPoll     = 5 * time.Millisecond
	watchPatience = 50 * time.Millisecond
)

// watch answers a watch once this host is up to date.
func (h *fakeHost) watch(q *table.Watch, arrived time.Duration, life int, answer func(*table.Delta, error)) {
	last := h.group.now()-arrived > watchPatience
	p, _, err := h.group.watchNow(q, arrived, last)
	switch {
	case err != nil:
		answer(nil, err)
	case p != nil:
		answer(p.delta, nil)
	default:
		h.world.in(h.name, watchPoll, func() {
			if h.life == life && !h.down {
				h.watch(q, arrived, life, answer)
			}
		})
	}
}

// adopt holds that a configuration never reverts and that what an operator was told before the question is in it.
func (e *fakeEntry) adopt(next *table.View, askedAt time.Duration) {
	if next.Config().Version < e.view.Config().Version {
		e.world.breach("%s: configuration went from %d to %d", e.name, e.view.Config().Version, next.Config().Version)
	}
	for _, t := range e.world.told {
		if t.outcome.Accepted && t.at < askedAt && next.Config().Version < t.outcome.Version {
			e.world.breach("%s took configuration %d after %d was told to an operator", e.name, next.Config().Version, t.outcome.Version)
		}
	}
	e.view = next
}

// request sends one request for a key to its owner, as the owner's home does.
func (e *fakeEntry) request(hash uint64) {
	set, ok := e.view.Set("frames")
	if !ok {
		return
	}
	s := set.Find(hash)
	u, ok := e.view.Upstream(s.Owner)
	if !ok || s.Moving() {
		return
	}
	if home, _ := e.view.Home(u.Number); home.Name != e.name {
		return
	}
	hold := time.Second
	if !u.ChecksFence {
		hold = 600 * time.Millisecond
		if e.clock.now() >= e.leaseEnd {
			return
		}
	}
	deadline := e.world.now + hold
	version, life := e.view.Version(), e.life
	e.flights[version]++
	to := e.world.upstreamNamed(u.Name)
	ended := false
	end := func() {
		if !ended && e.life == life {
			ended = true
			e.flights[version]--
		}
	}
	e.world.stage.sendOnce(e.name, to.name, func() {
		to.serve(hash, s.Fence, u.Incarnation, deadline, func() { e.world.stage.send(to.name, e.name, end) })
	})
	e.world.in(e.name, hold+table.MaxSkew, end)
}
