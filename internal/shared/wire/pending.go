package wire

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Pending reports whether bytes, or the end of the connection, are waiting to be read. It consumes nothing and does not
// block. It returns false for a connection without a file descriptor, true for one that can no longer be read.
func Pending(raw net.Conn) bool {
	tcp, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	empty := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = peekErr == unix.EAGAIN || peekErr == unix.EWOULDBLOCK
	})
	return err != nil || !empty
}
