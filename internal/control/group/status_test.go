package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// TestFullRedundancyMeansCommittedMembers blocks the answers to a membership change. While it is not committed, the loss of the
// leader would restore the old membership, so status must not report full redundancy yet.
func TestFullRedundancyMeansCommittedMembers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(worldOptions{seed: 1, hosts: 4, entries: 1, checked: 1})
	w.run(2 * time.Second)
	leader := w.leader()
	c.Assert(leader, qt.IsNotNil)
	redundant := func() bool {
		answer := &oper.StatusResponse{}
		leader.group.statusMembers(answer)
		return answer.FullRedundancy
	}
	c.Assert(redundant(), qt.IsTrue)
	var other raft.ReplicaID
	for _, h := range w.hosts {
		if h != leader {
			other = h.disk.id
		}
	}
	w.cut(leader.name, w.nodeNames(leader.name), true, true)
	c.Assert(w.changeMembers(oper.MembersRequest{Action: oper.Remove, ID: uint64(other)}, raft.Replica{}), qt.IsNil)
	c.Assert(redundant(), qt.IsFalse)
	w.heal()
	w.run(w.now + time.Second)
}
