package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// FuzzPacket checks that no datagram ends the process: malformed ones are ignored, and well-formed ones with any content are handled.
func FuzzPacket(f *testing.F) {
	add := func(p packet) {
		data, err := wire.Marshal(p)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	sub := Subset{Service: "s"}
	add(packet{Subset: sub, Requests: []SlotRequest{slotRequest(1), {ID: 2, Upstream: 9, Timeout: -1 << 62, Objective: 1<<63 - 1, Priority: -1 << 31, Exclude: []uint32{1, 1}}}})
	add(packet{Subset: sub, Results: []Result{{ID: 1, Completion: Answered, Took: -1 << 62, Running: -1}, {ID: 1, Completion: 99}, {ID: 1, Completion: Full, Took: -1 << 62, Running: 1<<63 - 1, Waiting: 1<<63 - 1, Slowness: -1 << 63}}, Acks: []uint64{0, 7}})
	add(packet{Subset: Subset{Service: "none", DataCentre: "x", Index: 9}, Replies: []Reply{{ID: 1, Decision: 200, Upstream: 1 << 31, After: -1}}})
	f.Add([]byte{0x85, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Hour
		n := New(Options{Self: Host{Address: "127.0.0.1:1"}, Hosts: func() []Host { return nil }, Upstreams: func(string) []Upstream { return upstreamsOf(2, 1) },
			Retries: retry.Limits{Share: 0.2, Base: 10, Window: 10 * time.Second}, Clock: func() time.Duration { return now }, CanSchedule: func() bool { return true }})
		for range 2 {
			var p packet
			if wire.Unmarshal(data, &p) == nil {
				n.handle("127.0.0.2:1", &p)
			}
			now += time.Second
			n.tickOnce()
			n.Update()
		}
	})
}
