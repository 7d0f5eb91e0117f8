package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func init() { cases["founder"] = lostFounder }

// lostFounder starts a deployment for the first time. With trouble, one of its five core machines is lost for good shortly after the
// start. The operator then sends the first config and consumers send requests for a minute.
func lostFounder(e *env) (broken []string, err error) {
	s, l := e.site, newLedger(e.record)
	s.deploy(5, 2)
	if err = s.startAll(); err != nil {
		return nil, err
	}
	after := 300
	if text := os.Getenv("AFTER_MS"); text != "" {
		after, _ = strconv.Atoi(text)
	}
	time.Sleep(time.Duration(after) * time.Millisecond)
	if e.trouble {
		s.controls[0].kill()
		e.record.write("%s is lost for good, %d ms after the start", s.controls[0].name, after)
	}
	w := &worker{record: e.record, ledger: l, controls: s.controlAddresses(), id: "i-3c01", service: "lists1",
		address: fmt.Sprintf("%s:%d", s.address(), s.ports.front), zone: zones[0], slots: 6, queue: 12, work: 20 * time.Millisecond}
	if err = w.start(); err != nil {
		return nil, err
	}
	defer w.stop()
	body := configBody("r7", []route{{name: "r-lists", host: "jepu9.example", prefix: "/lists/", kind: "idempotent", service: "lists1",
		timeoutMs: 1200, objectiveMs: 500, attempts: 2}}, []service{{name: "lists1"}})
	status, patchErr := s.patch(body, 60*time.Second)
	e.record.write("operator: the first config: status %d, error %v", status, patchErr)
	for n := range 100 {
		s.send(s.entries[n%2], l, request{id: fmt.Sprintf("%016x", rand.Uint64()), method: "GET", host: "jepu9.example", path: "/lists/" + strconv.Itoa(n),
			deadline: 1200 * time.Millisecond})
		time.Sleep(50 * time.Millisecond)
	}
	counts := l.counts()
	fmt.Println("answers by status:", counts)
	if counts[200] == 0 {
		broken = append(broken, fmt.Sprintf("Fault: no request is served, though four of five core machines run; answers by status: %v", counts))
	}
	return broken, nil
}
