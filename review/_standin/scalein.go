package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	recoveryTime = 15 * time.Second // recovery-s
	measureTime  = 15 * time.Second // in which the served share is measured
	servedLeast  = 0.25             // of the rule
)

// leave drains a worker as the protocol page says: it reports draining, serves on for drain-ms after the acknowledgement and a little
// longer, deregisters and exits.
func (w *worker) leave() (err error) {
	w.mutex.Lock()
	w.state = "draining"
	since := time.Now()
	w.mutex.Unlock()
	log.write("worker %s: begins to drain", w.id)
	err = await("worker "+w.id+" has the acknowledgement that it drains", 10*time.Second, func() bool {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		return w.lastPing.After(since)
	})
	if err != nil {
		return err
	}
	go func() {
		time.Sleep(drainMs*time.Millisecond + 500*time.Millisecond)
		body := fmt.Sprintf(`{"born":%d}`, w.born)
		for _, to := range w.control {
			client := http.Client{Timeout: time.Second}
			resp, err := client.Post("http://"+to+"/instances/"+w.id+"/deregister", "application/json", bytes.NewReader([]byte(body)))
			if err == nil {
				_ = resp.Body.Close()
				log.write("worker %s: deregister is answered %d", w.id, resp.StatusCode)
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
		}
		w.crash()
		log.write("worker %s: has left", w.id)
	}()
	return nil
}

// wipe kills control hosts and starts them again a second later with empty disks.
func (s *system) wipe(names []string) (err error) {
	for _, name := range names {
		s.kill(name)
		if err = os.RemoveAll(filepath.Join(s.folder, name)); err != nil {
			return err
		}
		log.write("%s is killed and loses its disk", name)
	}
	time.Sleep(time.Second)
	for _, name := range names {
		if err = s.start(name, false); err != nil {
			return err
		}
		log.write("%s is back with an empty disk", name)
	}
	return nil
}

// scaleIn takes away one of the two workers of a service that is divided by key, as planned, and at the acknowledgement of its draining
// two control hosts that don't lead lose their disks.
func scaleIn(trouble bool) (r result, err error) {
	const host, path = "archive.example", "/history/"
	l := newLedger()
	var workers []*worker
	for i := range 2 {
		workers = append(workers, &worker{id: fmt.Sprint("i-archive", i), service: "archive", keyed: true, slots: 6, queue: 12, work: 20 * time.Millisecond, ledger: l})
	}
	s, err := deploy(5, 2, config(host, []string{rule("r-history", "idempotent", path, "archive", "r1")}, []string{service("archive", true)}), workers)
	if err != nil {
		return r, err
	}
	if err = await("the workers hold all keys", 20*time.Second, func() bool { return workers[0].heldKeys()+workers[1].heldKeys() == lastKey+1 }); err != nil {
		return r, err
	}
	var sent, served [3]atomic.Int64
	var phase atomic.Int32 // 0: before the fault, 1: until recovery-s after it, 2: later
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for c := range 4 {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				key, at := (n*4+c)*40503%(lastKey+1), phase.Load()
				a := call(s.entryAddress(c%2), http.MethodGet, host, path+"frame", key, 3*time.Second, "")
				sent[at].Add(1)
				if a.status == http.StatusOK {
					served[at].Add(1)
				}
				log.write("consumer %d: key %d is answered %d, body %q, error %v", c, key, a.status, a.body, a.err)
			}
		})
	}
	time.Sleep(10 * time.Second)
	if trouble {
		leader := s.leaderOf(workers[0])
		var others []string
		for i := range s.control {
			if name := fmt.Sprint("control-", i); name != leader && len(others) < 2 {
				others = append(others, name)
			}
		}
		if err = workers[1].leave(); err != nil {
			return r, err
		}
		phase.Store(1)
		if err = s.wipe(others); err != nil {
			return r, err
		}
	}
	phase.Store(1)
	time.Sleep(recoveryTime)
	phase.Store(2)
	time.Sleep(measureTime)
	close(stop)
	wait.Wait()
	share := func(i int) float64 { return float64(served[i].Load()) / float64(max(sent[i].Load(), 1)) }
	return result{broken: share(0) >= servedLeast && share(2) < servedLeast,
		text: fmt.Sprintf("served before the fault: %d of %d, later than recovery-s after it: %d of %d", served[0].Load(), sent[0].Load(), served[2].Load(), sent[2].Load())}, nil
}
