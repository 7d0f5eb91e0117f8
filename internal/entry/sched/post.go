package sched

import (
	"net/netip"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Delays and bounds of datagrams.
const (
	resultDelay = 3 * time.Millisecond  // results wait so long for others to the same host
	ackDelay    = 50 * time.Millisecond // confirmations wait longer, as nobody waits for them
	maxPacket   = 8 << 10               // bytes; more would be cut into many pieces on the way
)

// packet is one datagram between entry hosts.
type packet struct {
	_       struct{} `cbor:",toarray"`
	Part    Subset
	Asks    []SlotRequest
	Replies []Reply
	Results []Result
	Acks    []uint64
	due     time.Duration
}

// outKey names where results wait to be sent.
type outKey struct {
	to   string
	part Subset
}

// packetFor returns the datagram that waits for a host, or a new one; the mutex must be held.
func (o *Node) packetFor(key outKey) *packet {
	if p := o.late[key]; p != nil {
		return p
	}
	return &packet{Part: key.part}
}

// send sends a datagram at once, with what waits for the same host; the mutex must be held.
func (o *Node) send(to string, part Subset, add func(*packet)) {
	key := outKey{to: to, part: part}
	p := o.packetFor(key)
	delete(o.late, key)
	add(p)
	o.write(to, p)
}

func (o *Node) write(to string, p *packet) {
	data, err := wire.Marshal(p)
	if err != nil || len(data) > maxPacket {
		return
	}
	address, err := netip.ParseAddrPort(to)
	if err != nil || o.conn == nil {
		return
	}
	o.traffic.datagrams.Add(1)
	o.traffic.bytes.Add(int64(len(data)))
	_, _ = o.conn.WriteToUDPAddrPort(data, address) // a lost datagram is sent again by its sender
}

// later adds to what is sent to a host a little later, so that several go together; the mutex must be held.
func (o *Node) later(to string, part Subset, delay time.Duration, add func(*packet)) {
	key := outKey{to: to, part: part}
	p := o.packetFor(key)
	o.late[key] = p
	add(p)
	due := o.options.Clock() + delay
	if p.due == 0 || due < p.due {
		p.due = due
		time.AfterFunc(delay, func() { o.flush(key) })
	}
}

// flush sends what waits for a host once it is due.
func (o *Node) flush(key outKey) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	p := o.late[key]
	if p == nil || o.options.Clock()+time.Millisecond < p.due {
		return
	}
	delete(o.late, key)
	o.write(key.to, p)
}
