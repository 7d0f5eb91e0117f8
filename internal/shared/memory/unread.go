package memory

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// setReceiveBuffer limits the bytes that may arrive at a socket and are not read. The connections that a listening socket accepts inherit
// the limit. The kernel doubles the size for its own structures.
func setReceiveBuffer(raw syscall.RawConn, bytes int) (err error) {
	defer func() { err = errors.WithMessage(err, "limit the receive buffer") }()
	var failure error
	err = raw.Control(func(fd uintptr) { failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
	if err == nil {
		err = failure
	}
	return err
}

// widenReceiveBuffer gives a connection the largest receive buffer. The window that it advertises is limited apart from that.
func widenReceiveBuffer(raw syscall.RawConn) (err error) {
	if err = setReceiveBuffer(raw, maxReceive); err != nil {
		return err
	}
	var failure error
	if err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, maxReceive)
	}); err == nil {
		err = failure
	}
	return err
}

// limitQueue limits how many connections wait to be accepted, as what they send counts too.
func limitQueue(l *net.TCPListener, connections int) (err error) {
	defer func() { err = errors.WithMessage(err, "limit the queue of new connections") }()
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	if err = raw.Control(func(fd uintptr) { failure = unix.Listen(int(fd), connections) }); err == nil {
		err = failure
	}
	return err
}
