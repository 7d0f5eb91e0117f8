package group

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// fakeEntry is an entry host: it watches the slice table, forwards announcements and sends requests. inFlight counts its
// unanswered requests by table version.
type fakeEntry struct {
	world      *world
	name       string
	clock      driftingClock
	host       table.EntryHost
	view       *table.View
	control    int
	leaseEnd   time.Duration
	inFlight   map[uint64]int
	generation int
}

func (w *world) addEntry(i int) {
	e := &fakeEntry{world: w, name: fmt.Sprintf("entry%d", i), clock: w.newClock()}
	w.entries = append(w.entries, e)
	e.start()
}

// start starts a process without any state.
func (e *fakeEntry) start() {
	e.generation++
	e.view, e.inFlight, e.leaseEnd = table.NewView(), map[uint64]int{}, 0
	e.host = table.EntryHost{Name: e.name, Incarnation: uint64(e.world.now) + 1, Address: e.name, DataCentre: "dc"}
	e.renewLater(e.generation)
	e.watchLater(e.generation)
}

func (e *fakeEntry) renewLater(generation int) {
	e.world.in(e.name, 200*time.Millisecond, func() {
		if e.generation == generation {
			e.renew(nil, nil)
			e.renewLater(generation)
		}
	})
}

// oldest returns the oldest table version by which a request in flight was sent.
func (e *fakeEntry) oldest() uint64 {
	oldest := e.view.Version()
	for v, n := range e.inFlight {
		if n > 0 {
			oldest = min(oldest, v)
		}
	}
	return oldest
}

// renew sends one renewal, with an announcement if a is not nil; answer receives the answer to that.
func (e *fakeEntry) renew(a *table.Announcement, answer func(table.GrantResponse)) {
	r := table.Renewal{Host: e.host, Applied: e.view.Version(), Oldest: e.oldest()}
	if a != nil {
		r.Announcements = append(r.Announcements, *a)
	}
	e.renewAt(r, e.clock.now(), e.generation, 0, answer)
}

// aged returns the renewal with the time since it was made added to the age of its announcements.
func (e *fakeEntry) aged(r table.Renewal, since time.Duration) table.Renewal {
	r.Announcements = table.AddAge(r.Announcements, e.clock.now()-since)
	return r
}

// renewTries is the maximum number of retries of a renewal.
const renewTries = 6

// renewAt sends a renewal to the current control host. On an error it retries at the leader named in the error, or else at the
// next host.
func (e *fakeEntry) renewAt(r table.Renewal, sentAt time.Duration, generation, tries int, answer func(table.GrantResponse)) {
	tried := e.control
	h := e.world.hosts[tried%len(e.world.hosts)]
	sent := e.aged(r, sentAt)
	ask(e.world, e.name, h, func(g *Group, answer func(*table.RenewalResponse, error)) { g.renewOrForward(&sent, answer) }, func(got *table.RenewalResponse, err error) {
		if e.generation != generation {
			return
		}
		if err != nil {
			e.switchHost(tried, err)
			if tries < renewTries {
				e.renewAt(r, sentAt, generation, tries+1, answer)
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

// switchHost moves on from a control host that returned an error: to the leader named in the error, or else to the next host.
func (e *fakeEntry) switchHost(tried int, err error) {
	if e.control != tried {
		return
	}
	e.control++
	var hint *wire.ErrNoLeader
	if errors.As(err, &hint) && hint.Leader != "" {
		e.control = slices.IndexFunc(e.world.hosts, func(h *fakeHost) bool { return h.name == hint.Leader })
	}
}

func (e *fakeEntry) watchLater(generation int) {
	e.world.in(e.name, 60*time.Millisecond, func() {
		if e.generation == generation {
			e.watch(generation)
			e.watchLater(generation)
		}
	})
}

func (e *fakeEntry) watch(generation int) {
	askedAt, held := e.world.now, e.view
	q := &table.Watch{Name: e.name, Version: held.Version(), Digest: held.Digest()}
	h := e.world.hosts[e.control%len(e.world.hosts)]
	ask(e.world, e.name, h, func(g *Group, answer func(*table.Delta, error)) { h.watch(q, g.now(), h.generation, answer) }, func(d *table.Delta, err error) {
		if err != nil || e.generation != generation || e.view != held {
			return
		}
		next, err := e.view.Apply(*d)
		if err != nil {
			e.world.violation("%s cannot apply a delta: %v", e.name, err)
			return
		}
		e.applyView(next, askedAt)
	})
}

// watchPoll is how often a waiting watch checks for changes, and watchHold how long it waits.
const (
	watchPoll = 5 * time.Millisecond
	watchHold = 50 * time.Millisecond
)

// watch answers a watch when this host is up to date, as Group.watch does.
func (h *fakeHost) watch(q *table.Watch, arrived time.Duration, generation int, answer func(*table.Delta, error)) {
	last := h.group.now()-arrived > watchHold
	p, _, err := h.group.watchInLoop(q, arrived, last)
	switch {
	case err != nil:
		answer(nil, err)
	case p != nil:
		answer(p.delta, nil)
	default:
		h.world.in(h.name, watchPoll, func() {
			if h.generation == generation && !h.down {
				h.watch(q, arrived, generation, answer)
			}
		})
	}
}

// applyView installs a new view. It checks that the configuration version never decreases, and that the view includes every
// publish that was acknowledged before the watch was sent.
func (e *fakeEntry) applyView(next *table.View, askedAt time.Duration) {
	if next.Config().Version < e.view.Config().Version {
		e.world.violation("%s: configuration went from %d to %d", e.name, e.view.Config().Version, next.Config().Version)
	}
	for _, acked := range e.world.acknowledged {
		if acked.outcome.Accepted && acked.at < askedAt && next.Config().Version < acked.outcome.Version {
			e.world.violation("%s applied configuration %d after %d was acknowledged to an operator", e.name, next.Config().Version, acked.outcome.Version)
		}
	}
	e.checkEvacuations(next, askedAt)
	e.view = next
}

// request sends one request for a key to its owner, if this entry host is the owner's home.
func (e *fakeEntry) request(hash uint64) {
	set, ok := e.view.Set("frames")
	if !ok {
		return
	}
	s := set.Find(hash)
	u, ok := e.view.Upstream(s.Owner)
	if !ok || s.Moving() || e.view.Evacuated(u.DataCentre) {
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
	version, generation := e.view.Version(), e.generation
	e.inFlight[version]++
	to := e.world.upstreamNamed(u.Name)
	ended := false
	end := func() {
		if !ended && e.generation == generation {
			ended = true
			e.inFlight[version]--
		}
	}
	e.world.simulator.sendOnce(e.name, to.name, func() {
		to.serve(hash, s.Fence, u.Incarnation, deadline, func() { e.world.simulator.send(to.name, e.name, end) })
	})
	e.world.in(e.name, hold+table.MaxSkew, end)
}
