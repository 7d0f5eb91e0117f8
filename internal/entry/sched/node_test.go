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

// testNode is a node on the loopback interface that a test can stop from scheduling. It counts its OnUnresponsive calls.
type testNode struct {
	*Node
	cannotSchedule    atomic.Bool
	unresponsiveCount atomic.Int64
}

// newNodes returns count nodes that know each other and the same upstreams.
func newNodes(t *testing.T, count int, list []Upstream) (nodes []*testNode) {
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
		n := &testNode{}
		n.Node = New(Options{Self: h, Hosts: func() []Host { return hosts }, Upstreams: func(string) []Upstream { return list },
			Retries: retry.Limits{Share: 0.2, Base: 10, Window: 10 * time.Second}, Clock: clock.Boot, CanSchedule: func() bool { return !n.cannotSchedule.Load() },
			OnUnresponsive: func(string, string, bool) { n.unresponsiveCount.Add(1) }})
		qt.Assert(t, n.Listen(), qt.IsNil)
		go func() { _ = n.Run(ctx) }()
		nodes = append(nodes, n)
	}
	return nodes
}

// schedulingNode returns the node that all nodes ask first for slots of service "s".
func schedulingNode(nodes []*testNode) *testNode {
	first := nodes[0].candidates(0, Subset{Service: "s"})[0]
	for _, n := range nodes {
		if n.options.Self == first {
			return n
		}
	}
	return nil
}

// otherNodes returns all nodes but the scheduling one.
func otherNodes(nodes []*testNode) (list []*testNode) {
	for _, n := range nodes {
		if n != schedulingNode(nodes) {
			list = append(list, n)
		}
	}
	return list
}

func testRequest() SlotRequest {
	return SlotRequest{Priority: 1, Timeout: 3 * time.Second, Objective: time.Second, DataCentre: "d"}
}

// TestHostsShareOneScheduler checks that all hosts share the slots, and that a waiting request gets the slot that another host
// releases.
func TestHostsShareOneScheduler(t *testing.T) {
	nodes := newNodes(t, 3, upstreamsOf(1))
	ctx := context.Background()
	first, err := nodes[0].Acquire(ctx, "s", testRequest())
	qt.Assert(t, err, qt.IsNil)
	got := make(chan *Slot, 1)
	go func() {
		s, err := nodes[1].Acquire(ctx, "s", testRequest())
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
	third, err := nodes[2].Acquire(ctx, "s", testRequest())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, third.scheduler, qt.Equals, schedulingNode(nodes).options.Self.Address)
}

// TestHostWithoutControlDoesNotSchedule checks that a host without contact to control assigns no slots, because its table may be
// outdated. It guards against a fault that occurred: an entry host cut off from control assigned slots of an upstream that had
// already announced that it was draining.
func TestHostWithoutControlDoesNotSchedule(t *testing.T) {
	nodes := newNodes(t, 3, upstreamsOf(4))
	scheduler := schedulingNode(nodes)
	scheduler.cannotSchedule.Store(true)
	for _, n := range nodes {
		s, err := n.Acquire(context.Background(), "s", testRequest())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.scheduler, qt.Not(qt.Equals), scheduler.options.Self.Address)
	}
}

// TestUnresponsiveSchedulerIsSkipped checks that a failed scheduler delays only one request: later ones skip it.
func TestUnresponsiveSchedulerIsSkipped(t *testing.T) {
	nodes := newNodes(t, 3, upstreamsOf(8))
	_ = schedulingNode(nodes).conn.Close()
	requester := otherNodes(nodes)[0]
	for range 3 {
		s, err := requester.Acquire(context.Background(), "s", testRequest())
		qt.Assert(t, err, qt.IsNil)
		s.Finish(Result{Completion: Answered, Took: time.Millisecond})
	}
	qt.Assert(t, requester.unresponsiveCount.Load(), qt.Equals, int64(1))
}

func TestNoSchedulerIsReported(t *testing.T) {
	nodes := newNodes(t, 2, upstreamsOf(1))
	for _, n := range nodes {
		n.cannotSchedule.Store(true)
	}
	_, err := nodes[0].Acquire(context.Background(), "s", testRequest())
	var none *ErrNoScheduler
	qt.Assert(t, errors.As(err, &none), qt.IsTrue)
}

// TestCancelledRequestReleasesItsSlot checks that a request whose context ended holds neither a slot nor a place in the queue.
func TestCancelledRequestReleasesItsSlot(t *testing.T) {
	nodes := newNodes(t, 2, upstreamsOf(1))
	requester := otherNodes(nodes)[0]
	first, err := requester.Acquire(context.Background(), "s", testRequest())
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = requester.Acquire(ctx, "s", testRequest())
	qt.Assert(t, err, qt.Equals, context.DeadlineExceeded)
	first.Finish(Result{Completion: Answered, Took: time.Millisecond})
	again, err := requester.Acquire(context.Background(), "s", testRequest())
	qt.Assert(t, err, qt.IsNil)
	again.Finish(Result{Completion: Answered, Took: time.Millisecond})
}

func TestRejectedWithoutEligibleUpstream(t *testing.T) {
	nodes := newNodes(t, 2, upstreamsOf(1))
	only := testRequest()
	only.Exclude = []uint32{1}
	_, err := otherNodes(nodes)[0].Acquire(context.Background(), "s", only)
	var rejected *ErrRejected
	qt.Assert(t, errors.As(err, &rejected), qt.IsTrue)
	qt.Assert(t, rejected.Decision, qt.Equals, NoUpstream)
}

// newNodeWithUnresponsiveHosts returns a node for which all other hosts receive datagrams but never reply.
func newNodeWithUnresponsiveHosts(t *testing.T, count int) *Node {
	hosts := []Host{{Name: "self", Address: "127.0.0.1:0"}}
	for i := range count {
		l, err := net.ListenPacket("udp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = l.Close() })
		hosts = append(hosts, Host{Name: string(rune('a' + i)), Address: l.LocalAddr().String()})
	}
	n := New(Options{Self: hosts[0], Hosts: func() []Host { return hosts[1:] }, Upstreams: func(string) []Upstream { return upstreamsOf(1) },
		Retries: retry.Limits{Share: 0.2, Base: 10, Window: 10 * time.Second}, Clock: clock.Boot, CanSchedule: func() bool { return true }})
	qt.Assert(t, n.Listen(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.Run(ctx) }()
	return n
}

// TestResendsAreBounded checks that a slot request without reply is sent only a few times, and that a host for which many hosts
// are unresponsive sends no more requests. Its own link is probably saturated then, and more datagrams would keep it saturated.
func TestResendsAreBounded(t *testing.T) {
	n := newNodeWithUnresponsiveHosts(t, maxUnresponsive+2)
	var none *ErrNoScheduler
	for range maxUnresponsive {
		_, err := n.Acquire(context.Background(), "s", testRequest())
		qt.Assert(t, errors.As(err, &none), qt.IsTrue)
	}
	requests := int64(maxHostsTried * len(replyTimeouts))
	results := int64(maxHostsTried * maxResultSends)
	qt.Check(t, n.traffic.datagrams.Load() <= int64(maxUnresponsive/maxHostsTried)*(requests+results), qt.IsTrue, qt.Commentf("%d datagrams", n.traffic.datagrams.Load()))
	asked := len(n.pending)
	_, err := n.Acquire(context.Background(), "s", testRequest())
	qt.Check(t, errors.As(err, &none), qt.IsTrue)
	qt.Check(t, asked, qt.Equals, 0)
}
