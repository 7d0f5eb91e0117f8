package group

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// departureWorld is a control group that has a service, and makes the calls of upstreams to its hosts.
type departureWorld struct {
	*world
	c *qt.C
}

func newDepartureWorld(t *testing.T) *departureWorld {
	w := &departureWorld{world: newWorld(worldOptions{seed: 4, hosts: 3}), c: qt.New(t)}
	w.run(2 * time.Second)
	w.propose(state.Command{Patch: &state.Patch{Items: []items.Item{{Kind: items.KindService, Name: "s", Version: 1, Service: &items.Service{Keyed: true}}}}})
	return w
}

// propose commits a command at the leader.
func (w *departureWorld) propose(c state.Command) {
	w.c.Helper()
	w.call(w.leader(), func(ctx context.Context, g *Group) error {
		_, err := g.proposeAndWait(ctx, c)
		return err
	})
}

// call makes a blocking call to a host and runs the world until it has returned.
func (w *departureWorld) call(h *fakeHost, f func(context.Context, *Group) error) {
	w.c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- f(ctx, h.group) }()
	for {
		select {
		case err := <-result:
			w.c.Assert(err, qt.IsNil)
			return
		case request := <-h.group.requests:
			h.step(func(*Group) error {
				request()
				return nil
			})
		case <-time.After(time.Millisecond):
			w.run(w.now + time.Millisecond)
		}
	}
}

// heartbeat returns an announcement by the process of an upstream that started at the given time.
func heartbeat(incarnation, sequence uint64, leaving bool) table.Announcement {
	return table.Announcement{Name: "u", Incarnation: incarnation, Sequence: sequence, Service: "s", Address: "127.0.0.1:1", DataCentre: "dc",
		ChecksFence: true, Slots: 3, Connections: 10, Leaving: leaving, Healthy: true, Reports: true}
}

// announce sends an announcement and waits until it is acknowledged, as Announce does.
func (w *departureWorld) announce(a table.Announcement) {
	w.c.Helper()
	for range 400 {
		acknowledged := false
		w.leader().step(func(g *Group) error {
			answer, err := g.renewInLoop(&table.Renewal{Announcements: []table.Announcement{a}})
			acknowledged = err == nil && announcementCommitted(a, &answer.Grants[0])
			return nil
		})
		if acknowledged {
			return
		}
		w.run(w.now + announcePollPeriod)
	}
	w.c.Fatalf("announcement %d of process %d is not acknowledged", a.Sequence, a.Incarnation)
}

// deregister sends the message that a process leaves and waits until it is acknowledged. Without an incarnation, process 5 is the newest
// one that has started when the message arrives.
func (w *departureWorld) deregister(incarnation uint64) {
	w.c.Helper()
	w.call(w.leader(), func(ctx context.Context, g *Group) error {
		_, err := g.Leave(ctx, &oper.LeaveRequest{Name: "u", Incarnation: incarnation, Latest: 5})
		return err
	})
}

// lose lets the leases of all upstreams expire.
func (w *departureWorld) lose() {
	w.run(w.now + 3*w.leaseTiming.Lease())
	w.c.Assert(w.leader().group.state.Upstreams(), qt.HasLen, 0)
}

// endLease ends the lease of the upstream and proposes its removal, which is not committed when it returns.
func (w *departureWorld) endLease() {
	w.leader().step(func(g *Group) error {
		u, ok := g.state.UpstreamNamed("u")
		w.c.Assert(ok, qt.IsTrue)
		g.leader.leases.Evict(g.state, []uint32{u.Number})
		g.proposeNoWait(state.Command{DropUpstreams: &state.DropUpstreams{Numbers: []uint32{u.Number}, Sequences: []uint64{1}}})
		return nil
	})
}

// replaceAtAddress joins a newer process under another name at the upstream's address.
func (w *departureWorld) replaceAtAddress(incarnation uint64) {
	other := heartbeat(incarnation, 1, false)
	other.Name = "other"
	w.announce(other)
}

// replaceLeader crashes the leader and waits for another one.
func (w *departureWorld) replaceLeader() {
	w.leader().crash()
	w.run(w.now + 3*time.Second)
	w.c.Assert(w.leader(), qt.IsNotNil)
}

// served returns the incarnations of the upstream that may get new requests.
func (w *departureWorld) served() (incarnations []uint64) {
	for _, u := range w.leader().group.state.Upstreams() {
		if u.Name == "u" && !u.Leaving {
			incarnations = append(incarnations, u.Incarnation)
		}
	}
	return incarnations
}

// TestAcknowledgedLeaveIsRecorded guards against upstreams that get new requests after control has acknowledged that they leave: whatever
// state their process was in, a heartbeat that arrives late must not bring it back, and a newer process must be able to join.
func TestAcknowledgedLeaveIsRecorded(t *testing.T) {
	cases := []struct {
		name string
		do   func(w *departureWorld) // up to the acknowledgement that process 5 leaves
	}{
		{"deregisters before it joined", func(w *departureWorld) { w.deregister(5) }},
		{"deregisters before it joined, beside an older process", func(w *departureWorld) {
			w.announce(heartbeat(3, 1, false))
			w.deregister(5)
		}},
		{"deregisters while it joins", func(w *departureWorld) {
			w.leader().step(func(g *Group) error {
				_, err := g.renewInLoop(&table.Renewal{Announcements: []table.Announcement{heartbeat(5, 1, false)}})
				return err
			})
			w.deregister(5)
		}},
		{"deregisters after it joined", func(w *departureWorld) {
			w.announce(heartbeat(5, 1, false))
			w.deregister(5)
		}},
		{"deregisters while an operator drains it", func(w *departureWorld) {
			w.announce(heartbeat(5, 1, false))
			w.propose(state.Command{Drain: &state.Drain{Name: "u", On: true}})
			w.deregister(5)
			w.propose(state.Command{Drain: &state.Drain{Name: "u"}})
		}},
		{"deregisters after it was lost", func(w *departureWorld) {
			w.announce(heartbeat(5, 1, false))
			w.lose()
			w.deregister(5)
		}},
		{"deregisters as its lease ends", func(w *departureWorld) {
			w.announce(heartbeat(5, 1, false))
			w.endLease()
			w.deregister(5)
		}},
		{"deregisters after a newer process took its address", func(w *departureWorld) {
			w.replaceAtAddress(6)
			w.deregister(5)
		}},
		{"deregisters without an incarnation before it joined", func(w *departureWorld) { w.deregister(0) }},
		{"deregisters without an incarnation after it joined", func(w *departureWorld) {
			w.announce(heartbeat(5, 1, false))
			w.deregister(0)
		}},
		{"deregisters without an incarnation after it was lost", func(w *departureWorld) {
			w.announce(heartbeat(5, 1, false))
			w.lose()
			w.deregister(0)
		}},
		{"deregisters without an incarnation before it joined, after an older process left and was removed", func(w *departureWorld) {
			w.announce(heartbeat(3, 1, false))
			w.deregister(3)
			w.lose()
			w.deregister(0)
		}},
		{"drains before it joined", func(w *departureWorld) { w.announce(heartbeat(5, 2, true)) }},
		{"drains while an operator drains it", func(w *departureWorld) {
			w.announce(heartbeat(5, 1, false))
			w.propose(state.Command{Drain: &state.Drain{Name: "u", On: true}})
			w.announce(heartbeat(5, 2, true))
			w.propose(state.Command{Drain: &state.Drain{Name: "u"}})
		}},
		{"drains after it was lost", func(w *departureWorld) {
			w.announce(heartbeat(5, 1, false))
			w.lose()
			w.announce(heartbeat(5, 2, true))
		}},
		{"drains as its lease ends", func(w *departureWorld) {
			w.announce(heartbeat(5, 1, false))
			w.endLease()
			w.announce(heartbeat(5, 2, true))
		}},
		{"drains after a newer process took its address", func(w *departureWorld) {
			w.replaceAtAddress(6)
			w.announce(heartbeat(5, 2, true))
		}},
		{"drains, and the heartbeats arrive in the wrong order", func(w *departureWorld) {
			w.announce(heartbeat(5, 3, false))
			w.announce(heartbeat(5, 2, true))
		}},
	}
	then := []struct {
		name string
		do   func(w *departureWorld)
	}{
		{"", func(*departureWorld) {}},
		{", then a new leader", (*departureWorld).replaceLeader},
		{", then its lease expires", (*departureWorld).lose},
	}
	for _, v := range cases {
		for _, after := range then {
			t.Run(v.name+after.name, func(t *testing.T) {
				t.Parallel()
				w := newDepartureWorld(t)
				v.do(w)
				w.c.Check(w.served(), qt.HasLen, 0, qt.Commentf("when it is acknowledged"))
				after.do(w)
				for sequence := range uint64(4) {
					w.announce(heartbeat(5, sequence+1, false))
				}
				w.run(w.now + 200*time.Millisecond)
				w.c.Check(w.served(), qt.HasLen, 0, qt.Commentf("after a late heartbeat"))
				w.announce(heartbeat(7, 1, false))
				w.c.Check(w.served(), qt.DeepEquals, []uint64{7})
				assertNoViolations(w.c, w.world, 4)
			})
		}
	}
}
