package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["brokenoff"] = brokenOffAnswers }

// Dose of the trouble, which comes in windows of 5.5 s: 0.33 of the workers break off 0.02 of their answers.
const (
	cutWindow  = 5500 * time.Millisecond
	cutPause   = 2 * time.Second
	cutWorkers = 2 // of 6
	cutShare   = 0.02
	photoBytes = 100_000
	cutAfter   = 90_000
	pipelined  = 6
	clients    = 6
)

// brokenOffAnswers lets consumers fetch photos, several at a time on one connection. With trouble, some workers break off some answers.
func brokenOffAnswers(e *env) (broken []string, err error) {
	s, l := e.site, newLedger(e.record)
	s.deploy(5, 2)
	if err = s.startAll(); err != nil {
		return nil, err
	}
	body := configBody("r7", []route{{name: "r-photos", host: "jepu9.example", prefix: "/photos/", kind: "idempotent", service: "photos1",
		timeoutMs: 3000, objectiveMs: 1200, attempts: 2}}, []service{{name: "photos1"}})
	if status, err := s.patch(body, 15*time.Second); err != nil || status != 200 {
		return nil, fmt.Errorf("the first config was answered %d, %v", status, err)
	}
	began := time.Now()
	sound := map[string]bool{}
	for i := range 6 {
		w := &worker{record: e.record, ledger: l, controls: s.controlAddresses(), id: fmt.Sprintf("i-%04x", 0x2b50+i), service: "photos1",
			address: fmt.Sprintf("%s:%d", s.address(), s.ports.front), zone: zones[i%len(zones)], slots: 6, queue: 12,
			work: 40 * time.Millisecond, padding: photoBytes}
		sound[w.id] = i >= cutWorkers
		if e.trouble && !sound[w.id] {
			w.cut = func() int {
				if time.Since(began)%(cutWindow+cutPause) < cutWindow && rand.Float64() < cutShare {
					return cutAfter
				}
				return 0
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
	time.Sleep(5 * time.Second)
	var sending sync.WaitGroup
	for n := range clients {
		sending.Go(func() {
			for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				s.fetch(s.entries[n%len(s.entries)], l)
			}
		})
	}
	sending.Wait()
	time.Sleep(time.Second)
	fmt.Println("answers by status:", l.counts())
	lost := l.lostAtSound(sound)
	if len(lost) > maxLost {
		broken = append(broken, fmt.Sprintf("LOST: %d requests were passed on to sound workers, and their connection was closed without an answer:", len(lost)))
		broken = append(broken, lost...)
	}
	return broken, nil
}

// maxLost is how many such requests the rule allows.
const maxLost = 3

// fetch sends some requests on one connection before the first is answered, and reads the answers.
func (s *site) fetch(entry *daemon, l *ledger) {
	c, err := net.DialTimeout("tcp", entry.fields["listen.front"].(string), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	var ids []string
	var out strings.Builder
	for range pipelined {
		id := fmt.Sprintf("%016x", rand.Uint64())
		ids = append(ids, id)
		fmt.Fprintf(&out, "GET /photos/%s HTTP/1.1\r\nHost: jepu9.example\r\nEbonyrill-Attempt-Id: %s\r\nEbonyrill-Deadline-Ms: 3000\r\n\r\n", id, id)
	}
	s.record.write("consumer: sends %s to %s", strings.Join(ids, " "), entry.name)
	if _, err = io.WriteString(c, out.String()); err != nil {
		return
	}
	reader := bufio.NewReader(c)
	for i, id := range ids {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			s.record.write("consumer: the connection ends in the answer to %s: %v", id, err)
			for _, unanswered := range ids[i+1:] {
				l.answered(unanswered, 0)
			}
			return
		}
		l.answered(id, response.StatusCode)
	}
}

// lostAtSound returns the requests without an answer that only sound workers ran.
func (l *ledger) lostAtSound(sound map[string]bool) (list []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, status := range l.answers {
		unsound := slices.ContainsFunc(l.runs[id], func(worker string) bool { return !sound[worker] })
		if status == 0 && len(l.runs[id]) > 0 && !unsound {
			list = append(list, fmt.Sprintf("LOST: %s was run by %v and has no answer", id, l.runs[id]))
		}
	}
	slices.Sort(list)
	return list
}
