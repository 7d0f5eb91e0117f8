package load

import (
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Bounds of the search for free ports; they lie below the range from which systems take the ports of outgoing
// connections, so that none of these takes a port between the search and its use.
const (
	firstPort  = 20000
	lastPort   = 32000
	portStride = 100
)

// FreePorts returns the first port of a free range of ports on this machine, at or after the port given; zero begins
// at a place that differs between processes.
func FreePorts(from, count int) (base int, err error) {
	if from == 0 {
		from = firstPort + os.Getpid()%((lastPort-firstPort)/portStride)*portStride
	}
	for base = from; base+count < lastPort; base += count {
		if rangeFree(base, count) {
			return base, nil
		}
	}
	return 0, errors.Errorf("no %d free ports in a row from %d on", count, from)
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
