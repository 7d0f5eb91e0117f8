package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// samplePeriod is how often a Usage reads what its process uses.
const samplePeriod = 20 * time.Millisecond

// Usage measures the memory of a process: its resident memory, and the bytes that have arrived at one of its addresses and that it has not
// read.
type Usage struct {
	pid     int
	address string
	end     chan struct{}
	done    sync.WaitGroup
	sum     int64 // peak of resident memory and unread bytes together
	unread  int64 // peak of unread bytes
}

// Measure begins to measure a process and the connections to an address of it, IP:port.
func Measure(pid int, address string) (u *Usage, err error) {
	u = &Usage{pid: pid, address: address, end: make(chan struct{})}
	if err = os.WriteFile(u.file("clear_refs"), []byte("5"), 0o600); err != nil {
		return nil, err
	}
	u.done.Go(u.run)
	return u, nil
}

func (u *Usage) file(name string) string { return fmt.Sprintf("/proc/%d/%s", u.pid, name) }

func (u *Usage) run() {
	for {
		resident, _ := u.status("VmRSS:")
		unread := unreadBytes(u.address)
		u.sum, u.unread = max(u.sum, resident+unread), max(u.unread, unread)
		select {
		case <-u.end:
			return
		case <-time.After(samplePeriod):
		}
	}
}

// Stop ends the measurement and returns the peaks in MiB: of resident memory and unread bytes together, and of unread bytes alone. If the
// process has ended, it returns the peaks until then and an error.
func (u *Usage) Stop() (sum, unread int, err error) {
	close(u.end)
	u.done.Wait()
	resident, err := u.status("VmHWM:")
	return int(max(u.sum, resident) >> 20), int(u.unread >> 20), err
}

// status returns a field of the process's status, in bytes.
func (u *Usage) status(field string) (bytes int64, err error) {
	text, err := os.ReadFile(u.file("status"))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), field)
	_, err = fmt.Sscan(rest, &bytes)
	return bytes << 10, err
}

// listening is the state of a listening socket in /proc/net/tcp, whose queue counts connections.
const listening = "0A"

// unreadBytes returns the bytes in the receive queues of the connections to an address, IP:port.
func unreadBytes(address string) (sum int64) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	var a, b, c, d, port int
	_, _ = fmt.Sscanf(address, "%d.%d.%d.%d:%d", &a, &b, &c, &d, &port)
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", d, c, b, a, port)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		var sent, received int64
		_, _ = fmt.Sscanf(fields[4], "%x:%x", &sent, &received)
		sum += received
	}
	return sum
}

// Descriptors returns the number of open file descriptors of a process.
func Descriptors(pid int) (n int, err error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list), err
}
