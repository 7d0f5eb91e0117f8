package group

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// maxDatagram is the largest batch of messages that goes as one datagram, in bytes; a larger one would be cut in pieces on its
// way, and goes as a call instead.
const maxDatagram = 1200

// datagrams carries small batches of messages between control hosts. A lost one needs no care: the core repeats itself.
type datagrams struct {
	conn *net.UDPConn
}

// listenDatagrams opens the address for messages of other control hosts.
func listenDatagrams(address string) (d *datagrams, err error) {
	defer func() { err = errors.WithMessage(err, "listen for control hosts") }()
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

// send sends a batch if it is small enough, and reports whether it did.
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

// run hands what arrives to take until the connection is closed.
func (d *datagrams) run(take func(raft.Message)) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var b batch
		if err != nil || wire.Unmarshal(buffer[:n], &b) != nil {
			continue // not one of ours, or news of an earlier datagram that was refused
		}
		for _, m := range b.Messages {
			take(m)
		}
	}
}
