package group

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// maxDatagram is the size in bytes of the largest batch that is sent as a datagram. A larger one would be fragmented by IP,
// and is sent as a call instead.
const maxDatagram = 1200

// datagrams sends and receives small batches of messages over UDP. Lost datagrams need no handling, as
// raft.Core sends messages again.
type datagrams struct {
	conn *net.UDPConn
}

// listenDatagrams opens a UDP socket at address for messages of other control hosts.
func listenDatagrams(address string) (d *datagrams, err error) {
	defer func() { err = errors.WithMessage(err, "listen for datagrams of control hosts") }()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, err
	}
	return &datagrams{conn: conn}, nil
}

// send sends a batch if it is small enough, and reports whether it was sent. It sends nothing if d is nil.
func (d *datagrams) send(address string, messages []raft.Message) bool {
	if d == nil {
		return false
	}
	data, err := wire.Marshal(batch{Messages: messages})
	if err != nil || len(data) > maxDatagram {
		return false
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	_, err = d.conn.WriteToUDPAddrPort(data, to)
	return err == nil
}

// run passes each received message to accept until the socket is closed.
func (d *datagrams) run(accept func(raft.Message)) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var b batch
		if err != nil || wire.Unmarshal(buffer[:n], &b) != nil {
			continue // not a batch, or an ICMP error for an earlier datagram
		}
		for _, m := range b.Messages {
			accept(m)
		}
	}
}
