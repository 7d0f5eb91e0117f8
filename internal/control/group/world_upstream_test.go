package group

import (
	"fmt"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// fakeUpstream is an upstream that checks fences, or one that checks nothing but deadlines.
type fakeUpstream struct {
	world    *world
	name     string
	checks   bool
	clock    driftingClock
	life     int
	inc      uint64
	sequence uint64
	grants   []table.Grant
	version  uint64
	leaseEnd time.Duration
	running  map[int]table.Grant
	runs     int
	leaving  bool
	lies     bool
	emptyBy  time.Duration
}

func (w *world) addUpstream(i int, checks bool) {
	u := &fakeUpstream{world: w, name: fmt.Sprintf("up%d", i), checks: checks, clock: w.newClock()}
	w.upstreams = append(w.upstreams, u)
	u.start()
}

func (w *world) upstreamNamed(name string) *fakeUpstream {
	return w.upstreams[slices.IndexFunc(w.upstreams, func(u *fakeUpstream) bool { return u.name == name })]
}

// start makes a process that holds nothing.
func (u *fakeUpstream) start() {
	u.life++
	u.reset()
	u.announceLater(u.life)
}

func (u *fakeUpstream) reset() {
	u.inc, u.sequence = uint64(u.world.now)+uint64(u.life), 0
	u.grants, u.version, u.leaseEnd, u.running = nil, 0, 0, map[int]table.Grant{}
}

func (u *fakeUpstream) announceLater(life int) {
	u.world.in(u.name, 150*time.Millisecond, func() {
		if u.life == life {
			u.announce(life)
			u.announceLater(life)
		}
	})
}

// held is the version to acknowledge: none that took a running request's grant away.
func (u *fakeUpstream) held() uint64 {
	for _, r := range u.running {
		if !slices.ContainsFunc(u.grants, func(g table.Grant) bool { return g.From <= r.From && r.From <= g.To && g.Fence == r.Fence }) {
			return 0
		}
	}
	return u.version
}

func (u *fakeUpstream) announce(life int) {
	u.sequence++
	a := table.Announcement{Name: u.name, Incarnation: u.inc, Sequence: u.sequence, Service: "frames", Address: "127.0.0.1:1",
		DataCentre: "dc", ChecksFence: u.checks, Slots: 3, Connections: 10, Held: u.held(), Leaving: u.leaving, Healthy: true}
	if u.lies {
		a.Healthy, a.Load = u.sequence%2 == 0, float64(u.sequence%3)*1000
	}
	sentAt := u.clock.now()
	e := u.world.entries[u.world.random.IntN(len(u.world.entries))]
	u.world.stage.send(u.name, e.name, func() {
		e.renew(&a, func(g table.GrantResponse) {
			u.world.stage.send(e.name, u.name, func() {
				if u.life == life && g.Incarnation == u.inc && g.Sequence == u.sequence {
					u.take(g, sentAt)
				}
			})
		})
	})
}

func (u *fakeUpstream) take(g table.GrantResponse, sentAt time.Duration) {
	switch g.Status {
	case table.GrantHeld:
		if g.Changed && g.Version >= u.version {
			u.grants, u.version = g.Grants, g.Version
		}
		u.leaseEnd = max(u.leaseEnd, sentAt+time.Duration(g.LeaseMillis)*time.Millisecond)
	case table.GrantStale:
		u.life++
		u.reset()
		u.announceLater(u.life)
	}
}

func (u *fakeUpstream) owns(hash, fence uint64) bool {
	return u.clock.now() < u.leaseEnd && slices.ContainsFunc(u.grants, func(g table.Grant) bool {
		return g.From <= hash && hash <= g.To && g.Fence == fence
	})
}

// serve runs a request: an upstream that checks does so again right before the effect; one that does not runs whatever
// has not passed its deadline.
func (u *fakeUpstream) serve(hash, fence, _ uint64, deadline time.Duration, answer func()) {
	if u.world.now >= deadline || u.checks && !u.owns(hash, fence) {
		answer()
		return
	}
	if !u.checks {
		u.effect(hash, fence)
	}
	u.runs++
	id, life := u.runs, u.life
	u.running[id] = table.Grant{From: hash, To: hash, Fence: fence}
	u.world.in(u.name, time.Duration(u.world.random.Int64N(int64(30*time.Millisecond))), func() {
		if u.life != life {
			return
		}
		if u.checks && u.owns(hash, fence) && u.world.now < deadline {
			u.effect(hash, fence)
		}
		delete(u.running, id)
		answer()
	})
}

// effect holds that a key never goes back to an owner with an older fence and that one fence belongs to one owner. An
// upstream that checks nothing may serve a key by an older fence of its own: while a cancelled move reaches the entry
// hosts, or after it restarted under its address and its earlier grants have not run out. Nobody else owns the key then.
func (u *fakeUpstream) effect(hash, fence uint64) {
	w := u.world
	if u.emptyBy > 0 && w.now > u.emptyBy {
		w.breach("%s still gets work, %v after it had to be empty", u.name, w.now-u.emptyBy)
	}
	last := w.effects[hash]
	other := last.upstream != u.name
	if fence < last.fence && (u.checks || other) || fence == last.fence && other {
		w.breach("key %x: %s (%d) acts with fence %d at %v after %s (%d) did with %d at %v", hash, u.name, u.inc, fence, w.now, last.upstream, last.incarnation, last.fence, last.at)
	}
	w.effects[hash] = effect{fence: max(fence, last.fence), upstream: u.name, incarnation: u.inc, at: w.now}
	w.served++
}
