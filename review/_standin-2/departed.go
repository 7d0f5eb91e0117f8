package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"
)

func init() { cases["departed"] = departedWorker }

// Times of the case.
const (
	drainTime  = 2 * time.Second // drain-ms
	pingDelay  = 4 * time.Second // of the late ping; with TROUBLE=0 the ping is lost
	servesFor  = 20 * time.Second
	withdrawAt = 1200 * time.Millisecond
	orderPause = 12 * time.Millisecond
)

// departedWorker starts a worker that is withdrawn a second later, before any of its pings was answered: it deregisters, is
// acknowledged, and serves on for some seconds. With trouble, its only ping arrives late.
func departedWorker(e *env) (broken []string, err error) {
	s, l := e.site, newLedger(e.record)
	s.deploy(5, 2)
	if err = s.startAll(); err != nil {
		return nil, err
	}
	body := configBody("r7", []route{{name: "r-orders", host: "hulo84.example", prefix: "/orders/", kind: "non_idempotent", service: "verdicts1",
		timeoutMs: 1500, objectiveMs: 600, attempts: 2}}, []service{{name: "verdicts1"}})
	if status, err := s.patch(body, 15*time.Second); err != nil || status != 200 {
		return nil, fmt.Errorf("the first config was answered %d, %v", status, err)
	}
	newWorker := func(i int, zone string) *worker {
		return &worker{record: e.record, ledger: l, controls: s.controlAddresses(), id: fmt.Sprintf("i-%04x", 0x6e70+i), service: "verdicts1",
			address: fmt.Sprintf("%s:%d", s.address(), s.ports.front), zone: zone, slots: 3, queue: 12, work: 100 * time.Millisecond}
	}
	for i := range 4 {
		w := newWorker(i, zones[1])
		if err = w.start(); err != nil {
			return nil, err
		}
		defer w.stop()
	}
	if err = s.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	departed := newWorker(9, s.entries[1].fields["zone"].(string)) // nearer to an entry machine than the others
	if err = departed.listen(); err != nil {
		return nil, err
	}
	defer departed.stop()
	ping, url, _ := departed.beatBody()
	if e.trouble {
		time.AfterFunc(pingDelay, func() {
			status, err := post(url, ping, time.Second)
			e.record.write("worker %s: its ping arrives %s late: status %d, error %v", departed.id, pingDelay, status, err)
		})
	}
	time.Sleep(withdrawAt)
	acked, err := departed.deregister()
	if err != nil {
		return nil, err
	}
	time.AfterFunc(servesFor, func() {
		e.record.write("worker %s: exits", departed.id)
		departed.stop()
	})
	var sending sync.WaitGroup
	for n := range int((servesFor + time.Second) / orderPause) {
		time.Sleep(orderPause)
		sending.Go(func() {
			s.send(s.entries[n%2], l, request{id: fmt.Sprintf("%016x", rand.Uint64()), method: "POST", host: "hulo84.example", path: "/orders/" + strconv.Itoa(n),
				body: "order", deadline: 1500 * time.Millisecond})
		})
	}
	sending.Wait()
	fmt.Println("answers by status:", l.counts(), "orders begun by the departed worker and not answered with success:", l.cutAt(departed.id))
	return l.reachedLater(departed.id, acked.Add(drainTime)), nil
}

// deregister tells control that the worker is gone, and returns when that was acknowledged.
func (w *worker) deregister() (acked time.Time, err error) {
	body, _ := json.Marshal(map[string]any{"born": w.born})
	status, err := post("http://"+w.controls[1]+"/instances/"+w.id+"/deregister", body, time.Second)
	w.record.write("worker %s: deregisters: status %d, error %v", w.id, status, err)
	if err != nil || status/100 != 2 {
		return acked, fmt.Errorf("the deregistration was answered %d, %v", status, err)
	}
	return time.Now(), nil
}

// reachedLater returns the runs of a worker after a time.
func (l *ledger) reachedLater(worker string, limit time.Time) (list []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, at := range l.times {
		if at.After(limit) && slices.Contains(l.runs[id], worker) {
			list = append(list, fmt.Sprintf("DRAIN: %s reached %s %.3f s after drain-ms had passed", id, worker, at.Sub(limit).Seconds()))
		}
	}
	slices.Sort(list)
	return list
}

// cutAt returns how many requests a worker began whose consumers were not answered with a success.
func (l *ledger) cutAt(worker string) (n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, workers := range l.runs {
		if slices.Contains(workers, worker) && l.answers[id] != 200 {
			n++
		}
	}
	return n
}
