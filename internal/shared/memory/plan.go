package memory

import "runtime/debug"

// Sizes of parts of the process. A process without load has 30 to 45 MiB resident, of which 20 to 25 are the program's text and the
// runtime's own memory, which the collector's limit does not cover.
const (
	baseBytes    = 44 << 20 // process without load
	outsideBytes = 24 << 20 // resident beyond what the collector's limit covers
	connBytes    = 24 << 10 // buffers, goroutines and stacks of one connection
)

// Shares of the memory beyond baseBytes, and of the descriptors; the rest is for garbage and for connections to upstreams and peers.
const (
	accountShare = 0.45
	connShare    = 0.25
	unreadShare  = 0.12 // bytes that have arrived and were not read
)

// descriptorShare is the share of the descriptors for accepted connections.
const descriptorShare = 0.75

// otherDescriptors is how many descriptors are left for files and for connections to other hosts.
const otherDescriptors = 40

// Plan is how the memory and the descriptors of a process are divided.
type Plan struct {
	collector   int64
	account     int64
	free        int64
	unread      int64
	connections int
	upstreams   int
	shares      float64 // sum of the shares of all listeners
}

// NewPlan divides the memory in bytes and the descriptors that the process may use.
func NewPlan(memory int64, descriptors int) Plan {
	free := max(memory-baseBytes, memory/8)
	byMemory := connShare * float64(free) / connBytes
	unread := int64(unreadShare * float64(free))
	return Plan{collector: max(memory-outsideBytes-unread, memory/2), account: int64(accountShare * float64(free)), free: free, unread: unread,
		connections: int(min(byMemory, descriptorShare*float64(descriptors))), shares: 1,
		upstreams: max(int((1-descriptorShare)*float64(descriptors))-otherDescriptors, minConnections)}
}

// Account returns the bytes that the requests in memory may take.
func (p Plan) Account() int64 { return p.account }

// Upstreams returns how many connections to upstreams may be open, so that descriptors are left for accepted connections.
func (p Plan) Upstreams() int { return p.upstreams }

// LargestBody returns the length of the longest body that the process has memory for, if it keeps factor bytes for each.
func (p Plan) LargestBody(factor int64) int64 { return p.free / factor }

// For returns the plan of a process that has only listeners of the given uses: they divide all connections by their shares.
func (p Plan) For(uses ...Use) Plan {
	p.shares = 0
	for _, u := range uses {
		p.shares += u.share
	}
	return p
}

// Connections returns how many connections a listener with the given share may have open.
func (p Plan) Connections(share float64) int {
	return max(int(share/p.shares*float64(p.connections)), minConnections)
}

// Limits of a connection's receive buffer, in bytes. A head of up to 16 KiB fits into the smallest.
const (
	minReceive = 16 << 10
	maxReceive = 64 << 10
)

// minQueue is how many connections may wait at least to be accepted, as when a restart makes many clients connect at once.
const minQueue = 512

// receive returns the size of the receive buffers of a listener with the given share, for its connections and those that wait in its
// queue, in bytes.
func (p Plan) receive(share float64) int {
	connections := p.Connections(share)
	return min(max(int(float64(p.unread)*share/p.shares)/(connections+queueLength(connections)), minReceive), maxReceive)
}

// queueLength returns how many connections may wait to be accepted.
func queueLength(connections int) int { return max(connections, minQueue) }

// minConnections is how many connections each listener may have at least.
const minConnections = 8

// Apply limits the collector's memory.
func (p Plan) Apply() { debug.SetMemoryLimit(p.collector) }
