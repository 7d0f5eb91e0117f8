package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const configHead = `{"upsert":{"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000,"version":"r1"},`

// rule returns a route of the configuration.
func rule(name, kind, prefix, service, version string) string {
	return fmt.Sprintf(`{"name":%q,"kind":%q,"target-latency-ms":600,"priority":1,"version":%q,"match":{"path-prefix":%q},"action":{"service":%q,"timeout-ms":1500,"max-attempts":2}}`,
		name, kind, version, prefix, service)
}

// service returns a service of the configuration.
func service(name string, sharded bool) string {
	if sharded {
		return fmt.Sprintf(`{"name":%q,"health-path":"/health","max-conns":130,"protocol":"h1","tls":false,"sharded":true,"warm-s":2.0,"grants":"heartbeat","version":"r1"}`, name)
	}
	return fmt.Sprintf(`{"name":%q,"health-path":"/health","max-conns":130,"protocol":"h1","tls":false,"version":"r1"}`, name)
}

// config returns the first call of the operator.
func config(host string, rules, services []string) string {
	return configHead + `"listeners":[{"host":"` + host + `","rules":[` + strings.Join(rules, ",") + `]}],"clusters":[` + strings.Join(services, ",") + `]},"remove":{"routes":[]}}`
}

// deploy starts a deployment with its first configuration and workers.
func deploy(controls, entries int, first string, workers []*worker) (s *system, err error) {
	if s, err = newSystem(controls, entries); err != nil {
		return nil, err
	}
	current = s
	if err = s.startAll(); err != nil {
		return nil, err
	}
	if err = s.patchUntilAcknowledged(first); err != nil {
		return nil, err
	}
	log.write("the first configuration is acknowledged: %s", first)
	for _, w := range workers {
		w.control = s.control
		if err = w.start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// awaitServed waits until the entry hosts serve a request.
func awaitServed(s *system, entries int, request func(address string) answer) error {
	for i := range entries {
		for n := 0; ; n++ {
			if a := request(s.entryAddress(i)); a.status == http.StatusOK {
				break
			}
			if n == 300 {
				return fmt.Errorf("entry host %d serves nothing", i)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// failed503 sends non-idempotent orders while one of seven workers fails a part of its requests with a 503 of its own, after it has
// run them.
func failed503(trouble bool) (r result, err error) {
	const host, path = "verdicts.example", "/sign-off/"
	l := newLedger()
	var failing atomic.Bool
	var workers []*worker
	var counter atomic.Int64
	for i := range 7 {
		w := &worker{id: fmt.Sprint("i-verdict", i), service: "verdicts", slots: 3, queue: 12, work: 100 * time.Millisecond, ledger: l}
		if i == 0 {
			w.fail = func(*http.Request) int {
				if failing.Load() && counter.Add(1)%20 < 11 {
					return http.StatusServiceUnavailable
				}
				return 0
			}
		}
		workers = append(workers, w)
	}
	s, err := deploy(3, 2, config(host, []string{rule("r-sign", "non_idempotent", path, "verdicts", "r1")}, []string{service("verdicts", false)}), workers)
	if err != nil {
		return r, err
	}
	order := func(address string) answer {
		return call(address, http.MethodPost, host, path+"frame", -1, 1500*time.Millisecond, "close the frame")
	}
	if err = awaitServed(s, 2, order); err != nil {
		return r, err
	}
	time.Sleep(2 * time.Second)
	failing.Store(trouble)
	var wait sync.WaitGroup
	var broken, sent atomic.Int64
	for c := range 16 {
		wait.Go(func() {
			for began := time.Now(); time.Since(began) < 8500*time.Millisecond; {
				a := order(s.entryAddress(c % 2))
				runs := l.runsOf(a.id)
				sent.Add(1)
				log.write("consumer %d: order %s is answered %d, seal %q, body %q, error %v; it has run %d times", c, a.id, a.status, a.seal, a.body, a.err, len(runs))
				if isPromise(a.status) && len(runs) > 0 {
					broken.Add(1)
					log.write("BROKEN order %s has run at %s and is answered %d, which promises that it has not", a.id, runs[0].worker, a.status)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return result{broken: broken.Load() > 0, text: fmt.Sprintf("%d of %d orders had run and were answered with the promise that they hadn't", broken.Load(), sent.Load())}, nil
}

// encoded sends requests whose path holds an encoded slash. The longest prefix that begins such a path is that of one service; with
// the slash decoded it would be that of another.
func encoded(trouble bool) (r result, err error) {
	const host = "archive.example"
	l := newLedger()
	workers := []*worker{
		{id: "i-photos0", service: "photos", slots: 3, queue: 12, work: 10 * time.Millisecond, ledger: l},
		{id: "i-orders0", service: "orders", slots: 3, queue: 12, work: 10 * time.Millisecond, ledger: l},
	}
	rules := []string{rule("r-photos", "idempotent", "/photos/", "photos", "r1"), rule("r-orders", "idempotent", "/photos/orders/", "orders", "r1")}
	s, err := deploy(3, 1, config(host, rules, []string{service("photos", false), service("orders", false)}), workers)
	if err != nil {
		return r, err
	}
	get := func(path string) answer {
		return call(s.entryAddress(0), http.MethodGet, host, path, -1, 1500*time.Millisecond, "")
	}
	for _, path := range []string{"/photos/1", "/photos/orders/1"} {
		if err = awaitServed(s, 1, func(string) answer { return get(path) }); err != nil {
			return r, err
		}
	}
	separator := "-"
	if trouble {
		separator = "%2F"
	}
	broken := 0
	for i := range 20 {
		path := fmt.Sprint("/photos/orders", separator, i)
		a := get(path)
		runs := l.runsOf(a.id)
		log.write("GET %s is answered %d, body %q", path, a.status, a.body)
		for _, run := range runs {
			if run.service != "photos" {
				broken++
				log.write("BROKEN GET %s is run by %s; the longest prefix that begins the path is /photos/, of photos", path, run.service)
			}
		}
	}
	return result{broken: broken > 0, text: fmt.Sprintf("%d of 20 requests ran at a service that no route names for them", broken)}, nil
}
