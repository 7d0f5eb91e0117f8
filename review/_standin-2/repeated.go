package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

func init() { cases["repeated"] = repeatedAnswers }

// Dose of the trouble, which comes in windows of 5 s: 0.6 of the workers repeat 0.03 of their answers late. All workers turn away a
// share of the requests, with and without the trouble.
const (
	repeatWindow  = 5 * time.Second
	repeatPause   = 2 * time.Second
	repeatWorkers = 0.6
	repeatShare   = 0.03
	shedShare     = 0.2
	ordersPerS    = 90
)

// repeatedAnswers sends orders, which may run once at most, to a service that is divided by key and whose
// workers turn some of them away as not run. With trouble, some workers send some answers twice, the second copy late.
func repeatedAnswers(e *env) (broken []string, err error) {
	s, l := e.site, newLedger(e.record)
	s.deploy(5, 2)
	if err = s.startAll(); err != nil {
		return nil, err
	}
	body := configBody("r7", []route{{name: "r-orders", host: "hulo84.example", prefix: "/orders/", kind: "non_idempotent", service: "verdicts1",
		timeoutMs: 1500, objectiveMs: 600, attempts: 3}}, []service{{name: "verdicts1", keyed: true}})
	if status, err := s.patch(body, 15*time.Second); err != nil || status != 200 {
		return nil, fmt.Errorf("the first config was answered %d, %v", status, err)
	}
	began := time.Now()
	const workers = 6
	for i := range workers {
		w := &worker{record: e.record, ledger: l, controls: s.controlAddresses(), id: fmt.Sprintf("i-%04x", 0x7f30+i), service: "verdicts1",
			address: fmt.Sprintf("%s:%d", s.address(), s.ports.front), zone: zones[i%len(zones)], keyed: true, slots: 3, queue: 12,
			work: 60 * time.Millisecond}
		w.sheds = func() bool { return rand.Float64() < shedShare }
		if e.trouble && float64(i+1) <= repeatWorkers*workers {
			w.repeat = func() (bool, time.Duration) {
				inWindow := time.Since(began)%(repeatWindow+repeatPause) < repeatWindow
				return inWindow && rand.Float64() < repeatShare, time.Millisecond + rand.N(25*time.Millisecond)
			}
		}
		if err = w.start(); err != nil {
			return nil, err
		}
		defer w.stop()
	}
	if err = s.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	var sending sync.WaitGroup
	for n := range ordersPerS * 75 {
		time.Sleep(time.Second / ordersPerS)
		sending.Go(func() {
			s.send(s.entries[n%len(s.entries)], l, request{id: fmt.Sprintf("%016x", rand.Uint64()), method: "POST", host: "hulo84.example",
				path: "/orders/" + strconv.Itoa(n), key: strconv.Itoa(rand.IntN(65536)), body: "order", deadline: 1500 * time.Millisecond})
		})
	}
	sending.Wait()
	time.Sleep(time.Second)
	fmt.Println("answers by status:", l.counts())
	return append(l.promiseBroken(), l.ranTwice()...), nil
}
