package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// TestFullRedundancyMeansCommittedMembers holds back the answers to a membership change: while it is not committed, the
// loss of the leader would bring the old configuration back, so that the report must wait.
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
	w.cut(leader.name, w.names(leader.name), true, true)
	c.Assert(w.changeMembers(oper.MembersRequest{Action: oper.Remove, ID: uint64(other)}, raft.Replica{}), qt.IsNil)
	c.Assert(redundant(), qt.IsFalse)
	w.heal()
	w.run(w.now + time.Second)
}
