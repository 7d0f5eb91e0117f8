package sched

import (
	"net/netip"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Batching delays and the size limit of datagrams.
const (
	resultDelay = 3 * time.Millisecond  // how long a result is held back so that several share a datagram
	ackDelay    = 50 * time.Millisecond // longer than resultDelay because no request waits for an acknowledgement
	maxPacket   = 8 << 10               // bytes; larger datagrams would be split into many IP fragments
)

// packet is one datagram between entry hosts. All its messages concern the same subset.
type packet struct {
	_        struct{} `cbor:",toarray"`
	Subset   Subset
	Requests []SlotRequest
	Replies  []Reply
	Results  []Result
	Acks     []uint64
	due      time.Duration
}

// destination identifies a batch of messages: the host that it is sent to and the subset that it concerns.
type destination struct {
	to     string
	subset Subset
}

// packetFor returns the batched datagram for a destination, or a new one. The mutex must be held.
func (n *Node) packetFor(key destination) *packet {
	if p := n.delayed[key]; p != nil {
		return p
	}
	return &packet{Subset: key.subset}
}

// send sends a datagram immediately, together with the messages batched for the same destination. The mutex must be held.
func (n *Node) send(to string, subset Subset, add func(*packet)) {
	key := destination{to: to, subset: subset}
	p := n.packetFor(key)
	delete(n.delayed, key)
	add(p)
	n.transmit(to, p)
}

func (n *Node) transmit(to string, p *packet) {
	data, err := wire.Marshal(p)
	if err != nil || len(data) > maxPacket {
		return
	}
	address, err := netip.ParseAddrPort(to)
	if err != nil || n.conn == nil {
		return
	}
	n.traffic.datagrams.Add(1)
	n.traffic.bytes.Add(int64(len(data)))
	_, _ = n.conn.WriteToUDPAddrPort(data, address) // errors are ignored: unanswered requests and unacknowledged results are sent again
}

// sendDelayed adds a message to the batch for a destination, which is sent after the delay or sooner. The mutex must be held.
func (n *Node) sendDelayed(to string, subset Subset, delay time.Duration, add func(*packet)) {
	key := destination{to: to, subset: subset}
	p := n.packetFor(key)
	n.delayed[key] = p
	add(p)
	due := n.options.Clock() + delay
	if p.due == 0 || due < p.due {
		p.due = due
		time.AfterFunc(delay, func() { n.flush(key) })
	}
}

// flush sends the batch for a destination if it is due.
func (n *Node) flush(key destination) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p := n.delayed[key]
	if p == nil || n.options.Clock()+time.Millisecond < p.due {
		return
	}
	delete(n.delayed, key)
	n.transmit(key.to, p)
}
