package group

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
)

// newFormingWorld starts hosts on empty data folders. The first one bootstraps the group and the others request to join.
// Hosts after the first eligible ones are standbys. Any toleratedLosses of the eligible hosts may be lost at once.
func newFormingWorld(seed uint64, eligible, standbys int) *world {
	w := &world{simulator: newSimulator(seed), leaseTiming: defaultLeaseTiming(), effects: map[uint64]effect{},
		formation: Formation{Seeds: []string{"host0"}, Voters: 2*toleratedLosses + 1}}
	for i := range eligible + standbys {
		w.join(i, i >= eligible)
	}
	first := w.hosts[0]
	first.step(func(g *Group) error {
		_, err := g.bootstrapInLoop(raft.NewMembers(g.bootstrapMember()))
		return err
	})
	return w
}

// toleratedLosses is how many eligible hosts may be lost at once in a forming world.
const toleratedLosses = 2

// join starts a host on an empty data folder that requests to join.
func (w *world) join(i int, standby bool) *fakeHost {
	h := w.addHost(i)
	h.standby = standby
	h.start()
	h.enrolLater()
	return h
}

// enrolLater sends a join request every enrolPeriod while one is needed, as RunFormation does.
func (h *fakeHost) enrolLater() {
	h.world.in(h.name, enrolPeriod, func() {
		if !h.down && h.group.mustEnrolInLoop() {
			h.enrol()
		}
		h.enrolLater()
	})
}

func (h *fakeHost) enrol() {
	identity := h.group.identity()
	for _, to := range h.world.hosts {
		h.world.sendOnce(h.name, to.name, func() {
			to.step(func(g *Group) error {
				if l, err := g.leaseholder(); err == nil {
					g.enrolInLoop(l, identity)
				}
				return nil
			})
		})
	}
}

// voters returns the names of the voters according to the leader.
func (w *world) voters() (names []string) {
	h := w.leader()
	if h == nil {
		return nil
	}
	for _, m := range h.group.core.Members() {
		if m.Voter {
			names = append(names, m.Address)
		}
	}
	return names
}

// awaitVoters advances time until the group has all its voters, and reports whether that happened in time.
func (w *world) awaitVoters(within time.Duration) bool {
	for end := w.now + within; w.now < end; w.run(w.now + 20*time.Millisecond) {
		if len(w.voters()) == w.formation.Voters {
			return true
		}
	}
	return false
}
