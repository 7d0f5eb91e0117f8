package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// ledger holds what workers did and what consumers were answered.
type ledger struct {
	record  *record
	mutex   sync.Mutex
	runs    map[string][]string  // workers that ran a request, by its id
	times   map[string]time.Time // when it was run last
	answers map[string]int       // status of the answer, by the id of the request; zero if there was none
	holders map[string][]holding
}

// holding is what a worker holds from a time on; until is when it ends if nothing else is told.
type holding struct {
	at    time.Time
	rows  []row
	until time.Time
}

func newLedger(r *record) *ledger {
	return &ledger{record: r, runs: map[string][]string{}, times: map[string]time.Time{}, answers: map[string]int{}, holders: map[string][]holding{}}
}

func (l *ledger) run(worker, id string) {
	l.record.write("worker %s: begins to run %s", worker, id)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[id] = append(l.runs[id], worker)
	l.times[id] = time.Now()
}

func (l *ledger) answered(id string, status int) {
	l.record.write("consumer: %s is answered %d", id, status)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers[id] = status
}

func (l *ledger) held(worker string, rows []row, until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := l.holders[worker]
	if n := len(list); n == 0 || !slices.Equal(list[n-1].rows, rows) {
		l.record.write("worker %s: holds %v", worker, rows)
	}
	l.holders[worker] = append(list, holding{at: time.Now(), rows: slices.Clone(rows), until: until})
}

// promiseBroken returns the requests that were answered as not run and have run.
func (l *ledger) promiseBroken() (list []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, status := range l.answers {
		promise := status == 408 || status == 421 || status == 429 || status == 503
		if promise && len(l.runs[id]) > 0 {
			list = append(list, fmt.Sprintf("REFUSED: %s was answered %d and was run by %v", id, status, l.runs[id]))
		}
	}
	slices.Sort(list)
	return list
}

// ranTwice returns the requests that ran more than once.
func (l *ledger) ranTwice() (list []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, workers := range l.runs {
		if len(workers) > 1 {
			list = append(list, fmt.Sprintf("TWICE: %s was run by %v", id, workers))
		}
	}
	slices.Sort(list)
	return list
}

// counts returns how many requests were answered with each status.
func (l *ledger) counts() map[int]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := map[int]int{}
	for _, status := range l.answers {
		counts[status]++
	}
	return counts
}
