package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	pingTimeout  = time.Second
	maxPingBytes = 4 << 10 // a longer response acknowledges nothing
	releasePause = 100 * time.Millisecond
	failurePause = 100 * time.Millisecond // until the next daemon is called
	lastKey      = 65535
)

// row is a range of keys with its epoch number.
type row struct {
	from, to, fence int
}

// worker is a stand-in for a worker. Its pings, leases and rejections follow the protocol page.
type worker struct {
	id, service, address string
	keyed                bool
	slots, queue         int
	work                 time.Duration
	control              []string
	born                 int64
	ledger               *ledger
	// fail, if set, is asked for the status with which a request that has run ends, zero for success.
	fail func(r *http.Request) int
	// delay, if set, returns how late a ping reaches a control host, negative for never; the worker gives up after pingTimeout.
	delay func(sequence int, to string) time.Duration

	listener net.Listener
	server   *http.Server
	stop     chan struct{}
	places   chan struct{}
	running  chan struct{}

	mutex    sync.Mutex
	sequence int
	state    string
	holds    []row
	leaseEnd time.Time
	highest  [lastKey + 1]int // the highest epoch number seen
	released [][3]any
	handover int
	next     string
	turn     int
	lastPing time.Time // when the last acknowledged ping was sent
}

// start listens and begins to send pings.
func (w *worker) start() (err error) {
	if w.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	w.address, w.born, w.state = w.listener.Addr().String(), time.Now().UnixMilli(), "ready"
	w.stop, w.places, w.running = make(chan struct{}), make(chan struct{}, w.slots+w.queue), make(chan struct{}, w.slots)
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(w.listener) }()
	go w.pings()
	go w.watchLease()
	return nil
}

// watchLease drops all rows as soon as the lease has run out.
func (w *worker) watchLease() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		w.mutex.Lock()
		w.expire()
		w.mutex.Unlock()
	}
}

// crash ends the worker at once.
func (w *worker) crash() {
	close(w.stop)
	_ = w.server.Close()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.holds = nil
	w.ledger.ended(w)
}

// pings sends a ping about every heartbeat, and the next one soon after a release or a failure.
func (w *worker) pings() {
	for {
		pause := w.ping()
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
	}
}

// ping sends one ping and returns the pause until the next.
func (w *worker) ping() time.Duration {
	w.mutex.Lock()
	w.expire()
	w.sequence++
	sequence, to := w.sequence, w.next
	if to == "" {
		to = w.control[w.turn%len(w.control)]
		w.turn++
	}
	body, count := w.pingBody()
	w.mutex.Unlock()
	sent := time.Now()
	status, answer := w.send(sequence, to, body)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	select {
	case <-w.stop:
		return 0
	default:
	}
	if status/100 != 2 || time.Since(sent) > pingTimeout || len(answer) > maxPingBytes {
		w.next = ""
		log.write("worker %s: ping %d to %s: status %d, %d bytes, not acknowledged", w.id, sequence, to, status, len(answer))
		return failurePause
	}
	var a struct {
		Next   string               `json:"beat-url"`
		Holds  *[][]json.RawMessage `json:"holds"`
		HoldMs int64                `json:"hold-ms"`
	}
	if json.Unmarshal(answer, &a) != nil {
		w.next = ""
		return failurePause
	}
	w.released, w.next, w.lastPing = w.released[count:], a.Next, sent
	if a.Holds == nil {
		return heartbeatMs * time.Millisecond
	}
	w.leaseEnd = sent.Add(time.Duration(a.HoldMs) * time.Millisecond)
	if w.take(*a.Holds) {
		return releasePause
	}
	return heartbeatMs*time.Millisecond - time.Since(sent)
}

// pingBody returns the body of a ping and the number of released rows in it; the mutex must be held.
func (w *worker) pingBody() ([]byte, int) {
	holds := [][3]int{}
	for _, r := range w.holds {
		holds = append(holds, [3]int{r.from, r.to, r.fence})
	}
	released := w.released
	if released == nil {
		released = [][3]any{}
	}
	fields := map[string]any{"service": w.service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": w.slots, "state": w.state,
		"cold-left-ms": 0, "sequence": w.sequence, "born": w.born}
	if w.keyed {
		fields["holds"], fields["released"] = holds, released
	}
	body, _ := json.Marshal(fields)
	return body, len(w.released)
}

// send sends a ping. One that is late is delivered all the same, after the worker has given up.
func (w *worker) send(sequence int, to string, body []byte) (status int, answer []byte) {
	late := time.Duration(0)
	if w.delay != nil {
		late = w.delay(sequence, to)
	}
	if late < 0 {
		log.write("worker %s: ping %d to %s is lost, the worker is cut off", w.id, sequence, to)
		time.Sleep(pingTimeout)
		return 0, nil
	}
	if late > 0 {
		log.write("worker %s: ping %d to %s will be %v late", w.id, sequence, to, late)
		go func() {
			time.Sleep(late)
			status, answer := w.post(to, body)
			log.write("worker %s: late ping %d delivered to %s: status %d, %d bytes, nobody waits for it", w.id, sequence, to, status, len(answer))
		}()
		time.Sleep(min(late, pingTimeout))
		return 0, nil
	}
	return w.post(to, body)
}

func (w *worker) post(to string, body []byte) (status int, answer []byte) {
	client := http.Client{Timeout: pingTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+to+"/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	if answer, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// take replaces the rows held by those of an answer and reports whether keys were released; the mutex must be held.
func (w *worker) take(rows [][]json.RawMessage) (released bool) {
	var granted []row
	for _, raw := range rows {
		var r row
		_ = json.Unmarshal(raw[0], &r.from)
		_ = json.Unmarshal(raw[1], &r.to)
		_ = json.Unmarshal(raw[2], &r.fence)
		if w.accepts(r) {
			granted = append(granted, r)
		}
	}
	sort.Slice(granted, func(i, j int) bool { return granted[i].from < granted[j].from })
	kept := map[int]bool{}
	for _, r := range granted {
		for key := r.from; key <= r.to; key++ {
			kept[key] = true
		}
	}
	for _, old := range w.holds {
		for from := old.from; from <= old.to; from++ {
			if kept[from] {
				continue
			}
			to := from
			for to < old.to && !kept[to+1] {
				to++
			}
			w.handover++
			w.released = append(w.released, [3]any{from, to, fmt.Sprintf("%08x%08x", w.born&0xffffffff, w.handover)})
			released, from = true, to
		}
	}
	w.holds = granted
	w.ledger.update(w, granted)
	return released
}

// accepts reports whether a row is accepted: no key of it had a higher epoch number here.
func (w *worker) accepts(r row) bool {
	for key := r.from; key <= r.to; key++ {
		if w.highest[key] > r.fence {
			return false
		}
	}
	for key := r.from; key <= r.to; key++ {
		w.highest[key] = r.fence
	}
	return true
}

// expire drops all rows once the lease has run out; the mutex must be held.
func (w *worker) expire() {
	if len(w.holds) > 0 && time.Now().After(w.leaseEnd) {
		log.write("worker %s: its hold has run out", w.id)
		w.holds = nil
		w.ledger.update(w, nil)
	}
}

// holdsKey reports whether the worker holds the key now.
func (w *worker) holdsKey(key int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.expire()
	for _, r := range w.holds {
		if r.from <= key && key <= r.to {
			return true
		}
	}
	return false
}

// serve handles a request: it rejects one that it must not run, waits for a slot and runs it.
func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Ebonyrill-Attempt-Id")
	out.Header().Set("Ebonyrill-Attempt-Id", id)
	if r.URL.Path == "/health" {
		out.Header().Set("Ebonyrill-Instance-Id", w.id)
		return
	}
	key, _ := strconv.Atoi(r.Header.Get("Ebonyrill-Shard-Key"))
	body, _ := io.ReadAll(r.Body)
	target := r.Header.Get("Ebonyrill-Target-Instance")
	if id == "" || target != "" && target != w.id || w.keyed && !w.holdsKey(key) {
		w.reject(out, r, http.StatusMisdirectedRequest)
		return
	}
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	default:
		w.reject(out, r, http.StatusServiceUnavailable)
		return
	}
	select {
	case w.running <- struct{}{}:
		defer func() { <-w.running }()
	case <-r.Context().Done():
		return
	}
	if w.keyed && !w.holdsKey(key) {
		w.reject(out, r, http.StatusMisdirectedRequest)
		return
	}
	w.ledger.run(w, id, key, r, string(body))
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		log.write("worker %s: request %s is dropped, its connection has ended", w.id, id)
		return
	}
	out.Header().Set("Ebonyrill-Server-Seal", "seal-"+w.id+"-"+id)
	if status := w.failure(r); status != 0 {
		log.write("worker %s: request %s has run and ends with its own status %d", w.id, id, status)
		out.WriteHeader(status)
		_, _ = io.WriteString(out, "the order was taken, but a later step failed\n")
		return
	}
	_, _ = io.WriteString(out, w.service+" "+w.id+" "+id+"\n")
}

func (w *worker) failure(r *http.Request) int {
	if w.fail == nil {
		return 0
	}
	return w.fail(r)
}

func (w *worker) reject(out http.ResponseWriter, r *http.Request, status int) {
	log.write("worker %s: request %s is rejected with %d, not run", w.id, r.Header.Get("Ebonyrill-Attempt-Id"), status)
	out.Header().Set("Ebonyrill-Not-Executed", "1")
	out.WriteHeader(status)
}
