package load

import (
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Range of the search for free ports. It lies below the ephemeral ports of outgoing connections (by default from 32768 on Linux),
// as an outgoing connection could otherwise take a port between the search and its use.
const (
	firstPort  = 20000
	lastPort   = 32000
	portStride = 100
)

// FreePorts returns the first of count consecutive free TCP ports on this machine, searching upwards from the port given.
// If from is zero, the search starts at a port that depends on the process id, so that concurrent processes start apart.
func FreePorts(from, count int) (base int, err error) {
	if from == 0 {
		from = firstPort + os.Getpid()%((lastPort-firstPort)/portStride)*portStride
	}
	for base = from; base+count < lastPort; base += count {
		if rangeFree(base, count) {
			return base, nil
		}
	}
	return 0, errors.Errorf("found no %d consecutive free ports from port %d on", count, from)
}

func rangeFree(base, count int) bool {
	for p := base; p < base+count; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
