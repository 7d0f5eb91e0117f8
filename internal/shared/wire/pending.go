package wire

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Pending reports whether bytes, or the end of the connection, wait to be read; it reads nothing and does not block. A connection of
// which this cannot be asked has nothing pending, one that cannot be read any more has.
func Pending(raw net.Conn) bool {
	tcp, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN || peekErr == unix.EWOULDBLOCK
	})
	return err != nil || !quiet
}
