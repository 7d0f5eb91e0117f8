package sched

import "sync/atomic"

// traffic counts the scheduling datagrams that a host sends to others.
type traffic struct {
	datagrams atomic.Int64
	bytes     atomic.Int64
	resent    atomic.Int64
}

// Traffic returns the number of datagrams that this host has sent, their total size in bytes, and how many slot requests were
// sent again for lack of a reply. A high rate of resends indicates a saturated network link.
func (n *Node) Traffic() (datagrams, bytes, resent int64) {
	return n.traffic.datagrams.Load(), n.traffic.bytes.Load(), n.traffic.resent.Load()
}
