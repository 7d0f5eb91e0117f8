package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["uploads"] = largeUploads }

// Load of the case: uploads at a time at each entry machine, the size of their bodies and the pause after each piece.
const (
	uploaders    = 5
	uploadBytes  = 60 << 20 // max-body-bytes is 64 MiB
	smallBytes   = 1 << 10
	uploadPiece  = 1 << 20
	piecePause   = 40 * time.Millisecond
	memoryMB     = 284 // memory-mb of an entry machine
	restartPause = time.Second
	uploadsFor   = 45 * time.Second
	maxEnds      = 3 // ends of a machine's processes that the rule counts, on two machines
)

// largeUploads lets consumers upload bodies within the operator's limits, while the platform kills a process that uses more memory than
// its machine has. With TROUBLE=0 the bodies are small.
func largeUploads(e *env) (broken []string, err error) {
	s, l := e.site, newLedger(e.record)
	s.deploy(5, 2)
	if err = s.startAll(); err != nil {
		return nil, err
	}
	body := configBody("r7", []route{
		{name: "r-photos", host: "jepu9.example", prefix: "/photos/", kind: "idempotent", service: "photos1", timeoutMs: 20000, objectiveMs: 10000, attempts: 2},
		{name: "r-orders", host: "jepu9.example", prefix: "/orders/", kind: "non_idempotent", service: "photos1", timeoutMs: 1500, objectiveMs: 600, attempts: 2}},
		[]service{{name: "photos1"}})
	if status, err := s.patch(body, 15*time.Second); err != nil || status != 200 {
		return nil, fmt.Errorf("the first config was answered %d, %v", status, err)
	}
	for i := range 4 {
		w := &worker{record: e.record, ledger: l, controls: s.controlAddresses(), id: fmt.Sprintf("i-%04x", 0x4d20+i), service: "photos1",
			address: fmt.Sprintf("%s:%d", s.address(), s.ports.front), zone: zones[i%len(zones)], slots: 6, queue: 12, work: 100 * time.Millisecond}
		if err = w.start(); err != nil {
			return nil, err
		}
		defer w.stop()
	}
	if err = s.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	size := uploadBytes
	if !e.trouble {
		size = smallBytes
	}
	var stop atomic.Bool
	var running sync.WaitGroup
	ends := make([]int, len(s.entries))
	for i, d := range s.entries {
		running.Go(func() { ends[i] = d.limitMemory(&stop) })
		for range uploaders {
			running.Go(func() {
				for !stop.Load() {
					s.upload(d, l, size)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		running.Go(func() {
			for n := 0; !stop.Load(); n++ {
				s.send(d, l, request{id: fmt.Sprintf("%016x", rand.Uint64()), method: "POST", host: "jepu9.example", path: "/orders/" + strconv.Itoa(n),
					body: "order", deadline: 1500 * time.Millisecond})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(uploadsFor)
	stop.Store(true)
	running.Wait()
	fmt.Println("answers by status:", l.counts(), "ends of processes:", ends)
	e.record.write("ends of processes: %v", ends)
	if ends[0] >= maxEnds && ends[1] >= maxEnds {
		broken = append(broken, fmt.Sprintf("Fault: processes of both entry machines ended %v times, with no impairment; %d requests were run and not answered",
			ends, l.runUnanswered()))
	}
	return broken, nil
}

// limitMemory kills the daemon's process when it uses more memory than its machine has, and starts it again after a pause, until stop is
// set. It returns how often it did.
func (d *daemon) limitMemory(stop *atomic.Bool) (ends int) {
	for ; !stop.Load(); time.Sleep(5 * time.Millisecond) {
		used := d.memoryMB()
		if used <= memoryMB {
			continue
		}
		ends++
		d.site.record.write("platform: %s uses %d MB of %d and is killed", d.name, used, memoryMB)
		d.kill()
		time.Sleep(restartPause)
		if d.start() != nil {
			return ends
		}
	}
	return ends
}

// memoryMB returns the memory that the daemon's process uses.
func (d *daemon) memoryMB() (used int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command == nil || d.command.Process.Signal(syscall.Signal(0)) != nil {
		return 0
	}
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	_, after, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes / 1024
}

// upload sends one request with a large body.
func (s *site) upload(entry *daemon, l *ledger, size int) (status int) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	s.record.write("consumer: uploads %s, %d bytes, to %s", id, size, entry.name)
	defer func() { l.answered(id, status) }()
	c, err := net.DialTimeout("tcp", entry.fields["listen.front"].(string), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(c, "PUT /photos/%s HTTP/1.1\r\nHost: jepu9.example\r\nEbonyrill-Attempt-Id: %s\r\nEbonyrill-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n", id, id, size)
	piece := make([]byte, min(uploadPiece, size))
	for sent := 0; sent < size && err == nil; sent += len(piece) {
		_, err = c.Write(piece[:min(len(piece), size-sent)])
		time.Sleep(piecePause)
	}
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPut})
	if err != nil {
		return 0
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// runUnanswered returns how many requests workers ran whose consumers got no answer.
func (l *ledger) runUnanswered() (n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, status := range l.answers {
		if status == 0 && len(l.runs[id]) > 0 {
			n++
		}
	}
	return n
}
