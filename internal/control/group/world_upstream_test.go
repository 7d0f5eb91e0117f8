package group

import (
	"fmt"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// fakeUpstream is an upstream that checks fencing tokens, or one that checks only deadlines.
type fakeUpstream struct {
	world       *world
	name        string
	checks      bool
	clock       driftingClock
	generation  int
	incarnation uint64
	sequence    uint64
	grants      []table.Grant
	version     uint64
	leaseEnd    time.Duration
	running     map[int]table.Grant
	runs        int
	leaving     bool
	misreports  bool
	drainedBy   time.Duration
	dataCentre  string
}

func (w *world) addUpstream(i int, checks bool) {
	u := &fakeUpstream{world: w, name: fmt.Sprintf("up%d", i), checks: checks, clock: w.newClock(), dataCentre: "dc"}
	w.upstreams = append(w.upstreams, u)
	u.start()
}

func (w *world) upstreamNamed(name string) *fakeUpstream {
	return w.upstreams[slices.IndexFunc(w.upstreams, func(u *fakeUpstream) bool { return u.name == name })]
}

// start starts a process without any grants.
func (u *fakeUpstream) start() {
	u.generation++
	u.reset()
	u.announceLater(u.generation)
}

func (u *fakeUpstream) reset() {
	u.incarnation, u.sequence = uint64(u.world.now)+uint64(u.generation), 0
	u.grants, u.version, u.leaseEnd, u.running = nil, 0, 0, map[int]table.Grant{}
}

func (u *fakeUpstream) announceLater(generation int) {
	u.world.in(u.name, 150*time.Millisecond, func() {
		if u.generation == generation {
			u.announce(generation)
			u.announceLater(generation)
		}
	})
}

// held returns the version of the grants to acknowledge, or zero while a request is running whose grant that version revoked.
func (u *fakeUpstream) held() uint64 {
	for _, r := range u.running {
		if !slices.ContainsFunc(u.grants, func(g table.Grant) bool { return g.From <= r.From && r.From <= g.To && g.Fence == r.Fence }) {
			return 0
		}
	}
	return u.version
}

func (u *fakeUpstream) announce(generation int) {
	u.sequence++
	a := table.Announcement{Name: u.name, Incarnation: u.incarnation, Sequence: u.sequence, Service: "frames", Address: "127.0.0.1:1",
		DataCentre: u.dataCentre, ChecksFence: u.checks, Slots: 3, Connections: 10, Held: u.held(), Leaving: u.leaving, Healthy: true}
	if u.misreports {
		a.Healthy, a.Load = u.sequence%2 == 0, float64(u.sequence%3)*1000
	}
	sentAt := u.clock.now()
	e := u.world.entries[u.world.random.IntN(len(u.world.entries))]
	u.world.simulator.send(u.name, e.name, func() {
		e.renew(&a, func(g table.GrantResponse) {
			u.world.simulator.send(e.name, u.name, func() {
				if u.generation == generation && g.Incarnation == u.incarnation && g.Sequence == u.sequence {
					u.applyAnswer(g, sentAt)
				}
			})
		})
	})
}

func (u *fakeUpstream) applyAnswer(g table.GrantResponse, sentAt time.Duration) {
	switch g.Status {
	case table.GrantHeld:
		if g.Changed && g.Version >= u.version {
			u.grants, u.version = g.Grants, g.Version
		}
		u.leaseEnd = max(u.leaseEnd, sentAt+time.Duration(g.LeaseMillis)*time.Millisecond)
	case table.GrantStale:
		u.generation++
		u.reset()
		u.announceLater(u.generation)
	}
}

// owns reports whether the upstream holds a grant for the hash with this fencing token, and its lease is valid.
func (u *fakeUpstream) owns(hash, fence uint64) bool {
	return u.clock.now() < u.leaseEnd && slices.ContainsFunc(u.grants, func(g table.Grant) bool {
		return g.From <= hash && hash <= g.To && g.Fence == fence
	})
}

// serve runs a request. An upstream that checks fencing tokens does so on arrival and again right before the effect; one that
// does not runs every request whose deadline has not passed.
func (u *fakeUpstream) serve(hash, fence, _ uint64, deadline time.Duration, answer func()) {
	if u.world.now >= deadline || u.checks && !u.owns(hash, fence) {
		answer()
		return
	}
	if !u.checks {
		u.effect(hash, fence)
	}
	u.runs++
	id, generation := u.runs, u.generation
	u.running[id] = table.Grant{From: hash, To: hash, Fence: fence}
	u.world.in(u.name, time.Duration(u.world.random.Int64N(int64(30*time.Millisecond))), func() {
		if u.generation != generation {
			return
		}
		if u.checks && u.owns(hash, fence) && u.world.now < deadline {
			u.effect(hash, fence)
		}
		delete(u.running, id)
		answer()
	})
}

// effect records that a request took effect. It checks that the fencing tokens of a key never decrease, and that one token
// belongs to one owner. An upstream that checks no tokens may serve a key with an older token of its own: while a cancelled
// move reaches the entry hosts, or after a restart at the same address while its earlier grants are still valid. Nobody else
// owns the key in these cases.
func (u *fakeUpstream) effect(hash, fence uint64) {
	w := u.world
	if u.drainedBy > 0 && w.now > u.drainedBy {
		w.violation("%s still gets requests, %v after the limit for draining", u.name, w.now-u.drainedBy)
	}
	last := w.effects[hash]
	other := last.upstream != u.name
	if fence < last.fence && (u.checks || other) || fence == last.fence && other {
		w.violation("key %x: %s (%d) executed a request with fence %d at %v after %s (%d) did with %d at %v", hash, u.name, u.incarnation, fence, w.now, last.upstream, last.incarnation, last.fence, last.at)
	}
	w.effects[hash] = effect{fence: max(fence, last.fence), upstream: u.name, incarnation: u.incarnation, at: w.now}
	w.served++
}
