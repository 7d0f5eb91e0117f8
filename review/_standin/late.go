package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	pingLateness  = 2800 * time.Millisecond // of the two pings that arrive late
	cutLength     = 6 * time.Second         // for which one worker is cut off from control
	sameKeysTime  = 500 * time.Millisecond  // of the rule
	keyedWorkers  = 6
	consumerPause = 4 * time.Second // between two requests of a consumer
)

// leaderOf returns the control host that answers the pings' beat-url, or an empty name if none is known.
func (s *system) leaderOf(w *worker) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for name, d := range s.daemons {
		if w.next == fmt.Sprintf("%s:%d", d.ip, s.ports[2]) {
			return name
		}
	}
	return ""
}

// heldKeys returns how many keys a worker holds.
func (w *worker) heldKeys() (n int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, r := range w.holds {
		n += r.to - r.from + 1
	}
	return n
}

// await waits until a condition holds.
func await(what string, most time.Duration, condition func() bool) error {
	for began := time.Now(); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > most {
			return fmt.Errorf("not reached: %s", what)
		}
	}
	log.write("reached: %s", what)
	return nil
}

// lateReport starts a seventh worker beside six that hold all keys. As the first of them has released keys for it, the new worker
// crashes, and starts again under its id; the keys go back. Meanwhile two pings of the first worker are late. Then the leader is killed
// and the first worker is cut off from control. The second late ping reaches the next leader, which takes it for a report that the keys
// are free.
func lateReport(trouble bool) (r result, err error) {
	const host, path = "archive.example", "/history/"
	l := newLedger()
	newWorker := func(i int) *worker {
		return &worker{id: fmt.Sprint("i-archive", i), service: "archive", keyed: true, slots: 3, queue: 12, work: 30 * time.Millisecond, ledger: l}
	}
	var workers []*worker
	for i := range keyedWorkers {
		workers = append(workers, newWorker(i))
	}
	first, added := workers[0], newWorker(keyedWorkers)
	var late atomic.Int32 // how many of the next pings of the first worker are late; negative while it is cut off
	first.delay = func(sequence int, to string) time.Duration {
		switch n := late.Load(); {
		case n < 0:
			return -1
		case n > 0:
			late.Add(-1)
			return pingLateness
		}
		return 0
	}
	s, err := deploy(5, 2, config(host, []string{rule("r-history", "idempotent", path, "archive", "r1")}, []string{service("archive", true)}), workers)
	if err != nil {
		return r, err
	}
	err = await("the workers hold all keys", 20*time.Second, func() bool {
		held := 0
		for _, w := range workers {
			held += w.heldKeys()
		}
		return held == lastKey+1
	})
	if err != nil {
		return r, err
	}
	end := consumers(s, host, path)
	defer end()
	time.Sleep(4 * time.Second)
	before := first.heldKeys()
	added.control = s.control
	if err = added.start(); err != nil {
		return r, err
	}
	if trouble {
		if err = crashAndCut(s, first, added, &late, before, func() *worker { return newWorker(keyedWorkers) }); err != nil {
			return r, err
		}
	} else {
		time.Sleep(2 * cutLength)
	}
	time.Sleep(cutLength + time.Second)
	longest := l.longestOverlap()
	return result{broken: longest > sameKeysTime, text: fmt.Sprintf("two workers that were up held the same keys for %v", longest.Round(time.Millisecond))}, nil
}

// consumers sends requests for keys all over the range and returns a function that ends them.
func consumers(s *system, host, path string) (end func()) {
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for c := range 2 {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(consumerPause):
				}
				key := (n*2 + c) * 40503 % (lastKey + 1)
				a := call(s.entryAddress(c), http.MethodGet, host, path+"frame", key, 1500*time.Millisecond, "")
				log.write("consumer %d: key %d is answered %d, body %q, error %v", c, key, a.status, a.body, a.err)
			}
		})
	}
	return func() { close(stop); wait.Wait() }
}

// crashAndCut does what lateReport describes from the crash on.
func crashAndCut(s *system, first, added *worker, late *atomic.Int32, before int, again func() *worker) (err error) {
	if err = await("the first worker has released keys for the added one", 12*time.Second, func() bool { return first.heldKeys() < before }); err != nil {
		return err
	}
	added.crash()
	log.write("the added worker has crashed")
	time.Sleep(200 * time.Millisecond)
	late.Store(2)
	time.Sleep(2400 * time.Millisecond)
	fewest := first.heldKeys()
	back := again()
	back.control = s.control
	if err = back.start(); err != nil {
		return err
	}
	log.write("the added worker has started again")
	if err = await("the first worker has its keys again", 5*time.Second, func() bool { return first.heldKeys() > fewest }); err != nil {
		return err
	}
	late.Store(-1)
	leader := s.leaderOf(first)
	if leader == "" {
		return fmt.Errorf("no leader is known")
	}
	log.write("the first worker is cut off from control, and the leader %s is killed", leader)
	s.signal(leader, syscall.SIGKILL)
	time.Sleep(3 * time.Second)
	if err = s.start(leader, false); err != nil {
		return err
	}
	time.Sleep(cutLength - 3*time.Second)
	late.Store(0)
	log.write("the first worker reaches control again")
	return nil
}
