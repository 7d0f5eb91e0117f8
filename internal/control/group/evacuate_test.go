package group

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/evac"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// operate makes an operator's call at the leader and waits for the acknowledgement.
func (w *departureWorld) operate(dataCentre string, out bool, by string) evac.Record {
	w.c.Helper()
	w.call(w.leader(), func(ctx context.Context, g *Group) error {
		_, err := g.evacuateAsLeader(ctx, &oper.EvacuateRequest{DataCentre: dataCentre, Out: out, By: by})
		return err
	})
	return w.leader().group.state.Evacuations().Get(dataCentre)
}

// mustRefuse makes an operator's call that must not be acknowledged.
func (w *departureWorld) mustRefuse(dataCentre string) {
	w.c.Helper()
	w.call(w.leader(), func(ctx context.Context, g *Group) error {
		ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		if _, err := g.evacuateAsLeader(ctx, &oper.EvacuateRequest{DataCentre: dataCentre, Out: true}); err != nil {
			return nil
		}
		return errors.New("acknowledged")
	})
}

// TestEvacuationOfTwoOperators guards against a call that does not take effect because another operator's was made before, and against
// operators' names that cannot be decoded.
func TestEvacuationOfTwoOperators(t *testing.T) {
	w := newDepartureWorld(t)
	first := w.operate("x", true, "a\xff")
	w.c.Check(first.Out, qt.IsTrue)
	w.c.Check(first.By, qt.Equals, "a")
	w.c.Check(w.operate("x", true, "b"), qt.Equals, first)
	w.c.Check(w.operate("x", false, "b").Out, qt.IsFalse)
	w.c.Check(w.operate("x", true, "a").Out, qt.IsTrue)
	w.c.Check(w.operate("never-heard-of", true, "a").Out, qt.IsTrue)
	w.mustRefuse("two words")
}

// TestEvacuationIsNotAcknowledgedUncommitted guards against an acknowledgement by a leader that cannot reach the other hosts.
func TestEvacuationIsNotAcknowledgedUncommitted(t *testing.T) {
	w := newDepartureWorld(t)
	leader := w.leader()
	w.cut(leader.name, w.nodeNames(leader.name), true, true)
	w.mustRefuse("x")
}

// TestEvacuationOutlastsProcesses guards against an acknowledged evacuation that is lost with the leader, with all processes or with a
// snapshot, and against a repeated call that is taken for another one.
func TestEvacuationOutlastsProcesses(t *testing.T) {
	restart := func(w *departureWorld) {
		for _, h := range w.hosts {
			h.losePower()
		}
		for _, h := range w.hosts {
			h.start()
		}
	}
	cases := []struct {
		name string
		fail func(w *departureWorld)
	}{
		{"leader lost", func(w *departureWorld) { w.leader().crash() }},
		{"all processes and power lost", restart},
		{"all processes lost after snapshots", func(w *departureWorld) {
			for _, h := range w.hosts {
				h.disk.bytes = maxLogBytes
				h.step((*Group).compact)
			}
			restart(w)
		}},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			w := newDepartureWorld(t)
			leader := w.leader()
			leader.step(func(g *Group) error {
				_, err := g.propose(evacuation(&oper.EvacuateRequest{DataCentre: "x", Out: true}), nil)
				return err
			})
			for !leader.group.state.Evacuations().Out("x") {
				w.run(w.now + time.Millisecond)
			}
			w.run(w.now + 500*time.Millisecond) // until all hosts have applied it
			want := leader.group.state.Evacuations().Get("x")
			v.fail(w)
			w.run(w.now + 4*time.Second)
			w.c.Assert(w.leader(), qt.IsNotNil)
			w.c.Check(w.operate("x", true, ""), qt.Equals, want)
			assertNoViolations(w.c, w.world, 4)
		})
	}
}

// TestLateEvacuationIsNotProposed guards against a call that the loop takes up after its caller has given up: the caller may have repeated
// it elsewhere and taken it back since.
func TestLateEvacuationIsNotProposed(t *testing.T) {
	w := newDepartureWorld(t)
	g := w.leader().group
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		_, err := g.evacuateAsLeader(ctx, &oper.EvacuateRequest{DataCentre: "x", Out: true})
		result <- err
	}()
	request := <-g.requests
	cancel()
	w.leader().step(func(*Group) error {
		request()
		return nil
	})
	w.c.Check(<-result, qt.IsNotNil)
	w.run(w.now + time.Second)
	w.c.Check(w.leader().group.state.Evacuations().Out("x"), qt.IsFalse)
}

// TestOvertakenEvacuation guards against a call that is refused because an opposite one is committed while its caller waits: it is made
// again, and holds.
func TestOvertakenEvacuation(t *testing.T) {
	w := newDepartureWorld(t)
	overtaken := false
	w.call(w.leader(), func(ctx context.Context, g *Group) error {
		_, err := g.Evacuate(&overtakenContext{Context: ctx, overtake: func() {
			overtaken = true
			_, _ = g.evacuateAsLeader(ctx, &oper.EvacuateRequest{DataCentre: "x", Out: true})
			_, _ = g.evacuateAsLeader(ctx, &oper.EvacuateRequest{DataCentre: "x"})
		}}, &oper.EvacuateRequest{DataCentre: "x", Out: true})
		return err
	})
	w.c.Check(overtaken, qt.IsTrue)
	w.c.Check(w.leader().group.state.Evacuations().Out("x"), qt.IsTrue)
}

// overtakenContext calls overtake once, when the first request to the loop is made with it that proposes something.
type overtakenContext struct {
	context.Context
	requests int
	overtake func()
}

// Done counts the requests to the loop: the first one reads what the host knows.
func (c *overtakenContext) Done() <-chan struct{} {
	if c.requests++; c.requests == 2 {
		c.overtake()
	}
	return c.Context.Done()
}

// ownedShare returns the share of the slices that the upstreams of a data centre own.
func (w *world) ownedShare(dataCentre string) float64 {
	s, owned := w.leader().group.state, 0
	set, _ := s.Table("frames")
	for i := range set.Len() {
		if u, ok := s.Upstream(set.At(i).Owner); ok && u.DataCentre == dataCentre {
			owned++
		}
	}
	return float64(owned) / float64(set.Len())
}

// evacuationMoveBound is within which time keys leave a data centre out of service: the lease of a lost leader's successor, a plan and the
// moves.
const evacuationMoveBound = 8 * time.Second

// TestKeysLeaveEvacuatedDataCentre guards against keys that stay at, or go to, upstreams in a data centre out of service while others can
// own them, and against keys that lose their owner when no others can.
func TestKeysLeaveEvacuatedDataCentre(t *testing.T) {
	for seed := range uint64(8) {
		checked, crash := seed%2 == 0, seed%4 >= 2
		t.Run(fmt.Sprintf("seed %d, checks fences: %v, leader crash: %v", seed, checked, crash), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			o := worldOptions{seed: seed + 1, hosts: 3, entries: 2, checked: 6}
			if !checked {
				o.checked, o.unchecked = 0, 6
			}
			w := newWorld(o)
			w.place("away", 2)
			w.upstreams[5].generation++ // joins during the evacuation
			w.run(2 * time.Second)
			w.publish(w.leader(), "20260102T150405.000Z-start", 0, []conf.File{worldFile}, func(table.PublishResult) {})
			w.load(140 * time.Second)
			w.run(6 * time.Second)
			c.Assert(w.ownedShare("away") > 0, qt.IsTrue)
			call := w.evacuate(w.leader(), "away", true)
			w.run(w.now + 100*time.Millisecond)
			c.Assert(call.acked, qt.IsTrue)
			if crash {
				w.leader().crash()
			}
			w.upstreams[5].start()
			w.run(w.now + evacuationMoveBound)
			c.Check(w.ownedShare("away"), qt.Equals, 0.0)
			c.Check(w.ownedShare("dc"), qt.Equals, 1.0)
			w.evacuate(w.leader(), "dc", true)
			w.run(w.now + 5*time.Second)
			c.Check(w.ownedShare("dc"), qt.Equals, 1.0, qt.Commentf("no other upstream is left"))
			w.evacuate(w.leader(), "dc", false)
			w.evacuate(w.leader(), "away", false)
			w.run(w.now + 90*time.Second)
			c.Check(w.ownedShare("away") > 0, qt.IsTrue, qt.Commentf("keys return"))
			w.checkEvacuations()
			assertNoViolations(c, w, seed+1)
		})
	}
}
