package main

import (
	"net/http"
	"sync"
	"time"
)

// run is one run of a request at a worker.
type run struct {
	worker, service, id, method, path, body string
	key                                     int
	at                                      time.Time
}

// overlap is a time in which two workers that are up hold the same keys.
type overlap struct {
	first, second *worker
	keys          int
	from, until   time.Time
}

// ledger records what all workers hold and run.
type ledger struct {
	mutex    sync.Mutex
	holder   [lastKey + 1]map[*worker]bool
	overlaps map[[2]*worker]*overlap
	done     []overlap
	runs     []run
}

func newLedger() *ledger { return &ledger{overlaps: map[[2]*worker]*overlap{}} }

// update records the rows that a worker holds from now on.
func (l *ledger) update(w *worker, rows []row) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := map[int]bool{}
	for _, r := range rows {
		for key := r.from; key <= r.to; key++ {
			held[key] = true
		}
	}
	for key := range l.holder {
		if l.holder[key] == nil {
			l.holder[key] = map[*worker]bool{}
		}
		if held[key] {
			l.holder[key][w] = true
		} else {
			delete(l.holder[key], w)
		}
	}
	l.findOverlaps()
	log.write("worker %s: holds %d keys in %d rows", w.id, len(held), len(rows))
}

// ended records that a worker has ended; it holds nothing.
func (l *ledger) ended(w *worker) { l.update(w, nil) }

// findOverlaps begins and ends the times in which two workers hold the same keys; the mutex must be held.
func (l *ledger) findOverlaps() {
	now := time.Now()
	current := map[[2]*worker]int{}
	for key := range l.holder {
		if len(l.holder[key]) < 2 {
			continue
		}
		var pair []*worker
		for w := range l.holder[key] {
			pair = append(pair, w)
		}
		if pair[0].id > pair[1].id {
			pair[0], pair[1] = pair[1], pair[0]
		}
		current[[2]*worker{pair[0], pair[1]}]++
	}
	for pair, keys := range current {
		if o := l.overlaps[pair]; o != nil {
			o.keys = max(o.keys, keys)
			continue
		}
		l.overlaps[pair] = &overlap{first: pair[0], second: pair[1], keys: keys, from: now}
		log.write("BOTH %s and %s hold the same %d keys", pair[0].id, pair[1].id, keys)
	}
	for pair, o := range l.overlaps {
		if current[pair] == 0 {
			o.until = now
			log.write("%s and %s no longer hold the same keys, after %v", pair[0].id, pair[1].id, now.Sub(o.from).Round(time.Millisecond))
			l.done = append(l.done, *o)
			delete(l.overlaps, pair)
		}
	}
}

// longestOverlap returns the longest time in which two workers held the same keys.
func (l *ledger) longestOverlap() (longest time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, o := range l.done {
		longest = max(longest, o.until.Sub(o.from))
	}
	for _, o := range l.overlaps {
		longest = max(longest, time.Since(o.from))
	}
	return longest
}

// run records that a worker begins a request.
func (l *ledger) run(w *worker, id string, key int, r *http.Request, body string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, run{worker: w.id, service: w.service, id: id, method: r.Method, path: r.RequestURI, body: body, key: key, at: time.Now()})
	log.write("worker %s (%s): runs request %s %s %s key %d body %q", w.id, w.service, id, r.Method, r.RequestURI, key, body)
}

// runsOf returns how often a request has run.
func (l *ledger) runsOf(id string) (list []run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range l.runs {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}
