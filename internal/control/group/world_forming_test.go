package group

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
)

// newFormingWorld starts hosts on empty folders, of which the first founds the group and the others ask to be taken in. Any two
// of the hosts that count may be lost at once.
func newFormingWorld(seed uint64, counted, others int) *world {
	w := &world{stage: newStage(seed), terms: defaultTerms(), effects: map[uint64]effect{},
		forming: Formation{Seeds: []string{"host0"}, Voters: 2*tolerated + 1}}
	for i := range counted + others {
		w.join(i, i >= counted)
	}
	founder := w.hosts[0]
	founder.step(func(g *Group) error {
		_, err := g.bootstrapNow(raft.NewMembers(g.founder()))
		return err
	})
	return w
}

// tolerated is how many counted hosts may be lost at once in a forming world.
const tolerated = 2

// join starts a host on an empty folder that asks to be taken in.
func (w *world) join(i int, standsBy bool) *fakeHost {
	h := w.addHost(i)
	h.standsBy = standsBy
	h.start()
	h.enrolLater()
	return h
}

// enrolLater asks the leader now and then to take the host in, as RunForming does.
func (h *fakeHost) enrolLater() {
	h.world.in(h.name, enrolPeriod, func() {
		if !h.down && h.group.outsideNow() {
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
				if l, err := g.leadingMembers(); err == nil {
					g.enrolNow(l, identity)
				}
				return nil
			})
		})
	}
}

// voters returns the voters that the leader knows, by name.
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

// settleVoters lets time pass until the group has its voters.
func (w *world) settleVoters(within time.Duration) bool {
	for end := w.now + within; w.now < end; w.run(w.now + 20*time.Millisecond) {
		if len(w.voters()) == w.forming.Voters {
			return true
		}
	}
	return false
}
