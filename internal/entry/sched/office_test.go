package sched

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
)

// office is an office on loopback that the test may make unfit.
type office struct {
	*Node
	unfit  atomic.Bool
	passed atomic.Int64
}

// newOffices returns as many offices that know each other and the same upstreams.
func newOffices(t *testing.T, count int, list []Upstream) (offices []*office) {
	var hosts []Host
	for i := range count {
		l, err := net.ListenPacket("udp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		hosts = append(hosts, Host{Name: string(rune('a' + i)), Address: l.LocalAddr().String()})
		_ = l.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, h := range hosts {
		o := &office{}
		o.Node = New(Options{Self: h, Hosts: func() []Host { return hosts }, Upstreams: func(string) []Upstream { return list },
			Retries: retry.Limits{Share: 0.2, Base: 10, Window: 10 * time.Second}, Clock: clock.Boot, CanSchedule: func() bool { return !o.unfit.Load() },
			OnUnresponsive: func(string, string, bool) { o.passed.Add(1) }})
		qt.Assert(t, o.Listen(), qt.IsNil)
		go func() { _ = o.Run(ctx) }()
		offices = append(offices, o)
	}
	return offices
}

// dealerOf returns the office that all ask first for the service.
func dealerOf(offices []*office) *office {
	first := offices[0].dealers(0, Subset{Service: "s"})[0]
	for _, o := range offices {
		if o.options.Self == first {
			return o
		}
	}
	return nil
}

// others returns the offices that do not deal.
func others(offices []*office) (list []*office) {
	for _, o := range offices {
		if o != dealerOf(offices) {
			list = append(list, o)
		}
	}
	return list
}

func wish() SlotRequest {
	return SlotRequest{Priority: 1, Timeout: 3 * time.Second, Objective: time.Second, DataCentre: "d"}
}

// TestOneDealerForAll holds that slots are shared by all hosts, and that one that waits gets the slot that another gives back.
func TestOneDealerForAll(t *testing.T) {
	offices := newOffices(t, 3, seats(1))
	ctx := context.Background()
	first, err := offices[0].Acquire(ctx, "s", wish())
	qt.Assert(t, err, qt.IsNil)
	got := make(chan *Slot, 1)
	go func() {
		s, err := offices[1].Acquire(ctx, "s", wish())
		qt.Check(t, err, qt.IsNil)
		got <- s
	}()
	select {
	case <-got:
		t.Fatal("two hosts have the only slot")
	case <-time.After(100 * time.Millisecond):
	}
	first.Finish(Result{Completion: Answered, Took: time.Millisecond})
	s := <-got
	qt.Assert(t, s.Upstream, qt.Equals, uint32(1))
	s.Finish(Result{Completion: Answered, Took: time.Millisecond})
	third, err := offices[2].Acquire(ctx, "s", wish())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, third.dealer, qt.Equals, dealerOf(offices).options.Self.Address)
}

// TestDealerWithoutControlPassesOn holds that a host that control does not answer deals no slots; its table may be old. The
// journal's day: an entry host cut off from control dealt an upstream that had said that it leaves.
func TestDealerWithoutControlPassesOn(t *testing.T) {
	offices := newOffices(t, 3, seats(4))
	dealer := dealerOf(offices)
	dealer.unfit.Store(true)
	for _, o := range offices {
		s, err := o.Acquire(context.Background(), "s", wish())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.dealer, qt.Not(qt.Equals), dealer.options.Self.Address)
	}
}

// TestSilentDealerIsPassedOver holds that a dealer that has gone costs a moment once, and nothing for a while after.
func TestSilentDealerIsPassedOver(t *testing.T) {
	offices := newOffices(t, 3, seats(8))
	_ = dealerOf(offices).conn.Close()
	asker := others(offices)[0]
	for range 3 {
		s, err := asker.Acquire(context.Background(), "s", wish())
		qt.Assert(t, err, qt.IsNil)
		s.Finish(Result{Completion: Answered, Took: time.Millisecond})
	}
	qt.Assert(t, asker.passed.Load(), qt.Equals, int64(1))
}

func TestNoDealerLeavesTheChoiceToTheHost(t *testing.T) {
	offices := newOffices(t, 2, seats(1))
	for _, o := range offices {
		o.unfit.Store(true)
	}
	_, err := offices[0].Acquire(context.Background(), "s", wish())
	var none *ErrNoScheduler
	qt.Assert(t, errors.As(err, &none), qt.IsTrue)
}

// TestCallerThatGoesGivesItsSlotBack holds that a request whose caller went holds neither a slot nor a place in the queue.
func TestCallerThatGoesGivesItsSlotBack(t *testing.T) {
	offices := newOffices(t, 2, seats(1))
	asker := others(offices)[0]
	first, err := asker.Acquire(context.Background(), "s", wish())
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = asker.Acquire(ctx, "s", wish())
	qt.Assert(t, err, qt.Equals, context.DeadlineExceeded)
	first.Finish(Result{Completion: Answered, Took: time.Millisecond})
	again, err := asker.Acquire(context.Background(), "s", wish())
	qt.Assert(t, err, qt.IsNil)
	again.Finish(Result{Completion: Answered, Took: time.Millisecond})
}

func TestRefusedWhereNoUpstreamMayRunIt(t *testing.T) {
	offices := newOffices(t, 2, seats(1))
	only := wish()
	only.Exclude = []uint32{1}
	_, err := others(offices)[0].Acquire(context.Background(), "s", only)
	var refused *ErrRejected
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Assert(t, refused.Decision, qt.Equals, NoUpstream)
}

// mute returns an office whose dealers are all there and say nothing.
func mute(t *testing.T, dealers int) *Node {
	hosts := []Host{{Name: "self", Address: "127.0.0.1:0"}}
	for i := range dealers {
		l, err := net.ListenPacket("udp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = l.Close() })
		hosts = append(hosts, Host{Name: string(rune('a' + i)), Address: l.LocalAddr().String()})
	}
	o := New(Options{Self: hosts[0], Hosts: func() []Host { return hosts[1:] }, Upstreams: func(string) []Upstream { return seats(1) },
		Retries: retry.Limits{Share: 0.2, Base: 10, Window: 10 * time.Second}, Clock: clock.Boot, CanSchedule: func() bool { return true }})
	qt.Assert(t, o.Listen(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = o.Run(ctx) }()
	return o
}

// TestSilenceIsNotAnsweredWithMore holds that an ask without reply is sent a few times only, and that a host to which many
// dealers are silent asks nobody: its own link is full then, and more datagrams would keep it so.
func TestSilenceIsNotAnsweredWithMore(t *testing.T) {
	o := mute(t, mostSilent+2)
	var none *ErrNoScheduler
	for range mostSilent {
		_, err := o.Acquire(context.Background(), "s", wish())
		qt.Assert(t, errors.As(err, &none), qt.IsTrue)
	}
	tries := int64(dealersTried * len(resendPauses))
	results := int64(dealersTried * resultTries)
	qt.Check(t, o.traffic.datagrams.Load() <= int64(mostSilent/dealersTried)*(tries+results), qt.IsTrue, qt.Commentf("%d datagrams", o.traffic.datagrams.Load()))
	asked := len(o.pending)
	_, err := o.Acquire(context.Background(), "s", wish())
	qt.Check(t, errors.As(err, &none), qt.IsTrue)
	qt.Check(t, asked, qt.Equals, 0)
}
