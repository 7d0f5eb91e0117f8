package sched

import "sync/atomic"

// traffic counts what a host sends to others for dealing.
type traffic struct {
	datagrams atomic.Int64
	bytes     atomic.Int64
	resent    atomic.Int64
}

// Traffic returns how many datagrams this host has sent, their bytes, and how often an ask was sent again because no reply came;
// many of the last tell of a link that is full.
func (o *Node) Traffic() (datagrams, bytes, resent int64) {
	return o.traffic.datagrams.Load(), o.traffic.bytes.Load(), o.traffic.resent.Load()
}
