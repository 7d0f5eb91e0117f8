package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a range of keys that a worker holds.
type row struct {
	from, to int
	fence    uint64
}

// worker is a stand-in for a worker: it holds keys by the answers to its heartbeats and runs requests for them.
type worker struct {
	record   *record
	ledger   *ledger
	controls []string
	id       string
	service  string
	address  string
	zone     string
	keyed    bool
	slots    int
	queue    int
	work     time.Duration
	// sheds, if set, returns whether a request is turned away although there is room.
	sheds func() bool
	// padding is added to the body of each answer, in bytes.
	padding int
	// cut, if set, returns after how many bytes an answer is broken off and its connection closed, zero for not at all.
	cut func() int
	// repeat, if set, returns whether an answer is sent once more and after which time.
	repeat func() (bool, time.Duration)

	mutex    sync.Mutex
	born     int64
	sequence int
	beatURL  string
	holds    []row
	released []row
	until    time.Time
	running  int
	waiting  int
	slot     chan struct{}
	listener net.Listener
	conns    map[net.Conn]bool
	stopped  chan struct{}
}

// start listens and begins to send heartbeats.
func (w *worker) start() (err error) {
	if err = w.listen(); err != nil {
		return err
	}
	go w.beat()
	return nil
}

// listen begins to serve requests.
func (w *worker) listen() (err error) {
	w.born, w.stopped, w.slot, w.conns = time.Now().UnixMilli(), make(chan struct{}), make(chan struct{}, w.slots), map[net.Conn]bool{}
	if w.listener, err = net.Listen("tcp", w.address); err != nil {
		return err
	}
	go w.serve()
	return nil
}

// stop ends the worker: what it is running is lost with its connections.
func (w *worker) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	select {
	case <-w.stopped:
		return
	default:
	}
	close(w.stopped)
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.Close()
	}
}

// heartbeatPeriod is the time between two heartbeats, as in the settings of the pages.
const heartbeatPeriod = 870 * time.Millisecond

// beat sends heartbeats. While keys are to be released it sends the next one within 100 ms.
func (w *worker) beat() {
	for {
		pause := heartbeatPeriod
		if w.sendBeat() {
			pause = 80 * time.Millisecond
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(pause):
		}
	}
}

// sendBeat sends one heartbeat, and reports whether keys were released because the answer left them out.
func (w *worker) sendBeat() (again bool) {
	sent := time.Now()
	body, url, released := w.beatBody()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		w.beatFailed()
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 4<<10+1))
	if err != nil || response.StatusCode/100 != 2 || len(data) > 4<<10 {
		w.record.write("worker %s: heartbeat answered %d: %s", w.id, response.StatusCode, bytes.TrimSpace(data))
		w.beatFailed()
		return false
	}
	return w.applyAnswer(sent, data, released)
}

func (w *worker) beatFailed() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.beatURL = ""
}

// beatBody returns the body of the next heartbeat and where it is sent.
func (w *worker) beatBody() (body []byte, url string, released int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.expire(time.Now())
	w.sequence++
	holds, gone := [][3]any{}, [][3]any{}
	for _, h := range w.holds {
		holds = append(holds, [3]any{h.from, h.to, h.fence})
	}
	for _, h := range w.released {
		gone = append(gone, [3]any{h.from, h.to, fmt.Sprintf("%016x", rand.Uint64())})
	}
	body, _ = json.Marshal(map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": "ready", "cold-left-ms": 0, "sequence": w.sequence, "born": w.born, "holds": holds, "released": gone})
	host := w.beatURL
	if host == "" {
		host = w.controls[rand.IntN(len(w.controls))]
	}
	return body, "http://" + host + "/instances/" + w.id + "/heartbeat", len(w.released)
}

// applyAnswer takes over the keys of an answer to the heartbeat that was sent at a time.
func (w *worker) applyAnswer(sent time.Time, data []byte, reported int) (again bool) {
	var answer struct {
		BeatURL string             `json:"beat-url"`
		Holds   *[]json.RawMessage `json:"holds"`
		HoldMs  int64              `json:"hold-ms"`
	}
	if json.Unmarshal(data, &answer) != nil {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.beatURL = answer.BeatURL
	w.released = w.released[min(reported, len(w.released)):]
	if answer.Holds == nil {
		return false
	}
	var next []row
	for _, raw := range *answer.Holds {
		var parts []json.RawMessage
		var h row
		if json.Unmarshal(raw, &parts) == nil && len(parts) == 4 && json.Unmarshal(parts[0], &h.from) == nil &&
			json.Unmarshal(parts[1], &h.to) == nil && json.Unmarshal(parts[2], &h.fence) == nil {
			next = append(next, h)
		}
	}
	for _, h := range w.holds {
		if !covered(h, next) {
			w.released = append(w.released, h)
			again = true
		}
	}
	w.holds = next
	w.until = sent.Add(time.Duration(answer.HoldMs) * time.Millisecond)
	w.ledger.held(w.id, next, w.until)
	return again
}

// covered reports whether the rows contain all keys of a row.
func covered(h row, rows []row) bool {
	for key := h.from; key <= h.to; key++ {
		if !slices.ContainsFunc(rows, func(r row) bool { return r.from <= key && key <= r.to }) {
			return false
		}
	}
	return true
}

// expire drops the keys when the hold has run out; the mutex must be held.
func (w *worker) expire(now time.Time) {
	if len(w.holds) > 0 && now.After(w.until) {
		w.holds, w.released = nil, nil
		w.ledger.held(w.id, nil, now)
	}
}

func (w *worker) holdsKey(text string) bool {
	key, err := strconv.Atoi(text)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.expire(time.Now())
	return err == nil && slices.ContainsFunc(w.holds, func(r row) bool { return r.from <= key && key <= r.to })
}

func (w *worker) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mutex.Lock()
		w.conns[c] = true
		w.mutex.Unlock()
		go w.serveConn(c)
	}
}

// serveConn serves one request at a time.
func (w *worker) serveConn(c net.Conn) {
	defer w.closeConn(c)
	var writing sync.Mutex
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer := w.handle(r, body)
		if w.cut != nil {
			if n := w.cut(); n > 0 && n < len(answer) {
				w.record.write("worker %s: breaks its answer to %s off after %d of %d bytes", w.id, r.Header.Get("Ebonyrill-Attempt-Id"), n, len(answer))
				_, _ = c.Write(answer[:n])
				return
			}
		}
		writing.Lock()
		_, err = c.Write(answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if w.repeat == nil {
			continue
		}
		if again, after := w.repeat(); again {
			id := r.Header.Get("Ebonyrill-Attempt-Id")
			time.AfterFunc(after, func() {
				w.record.write("worker %s: sends its answer to %s once more, %s later", w.id, id, after)
				writing.Lock()
				defer writing.Unlock()
				_, _ = c.Write(answer)
			})
		}
	}
}

func (w *worker) closeConn(c net.Conn) {
	_ = c.Close()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.conns, c)
}

// handle runs a request or turns it away, and returns the answer.
func (w *worker) handle(r *http.Request, body []byte) []byte {
	id := r.Header.Get("Ebonyrill-Attempt-Id")
	arrived := time.Now()
	w.record.write("worker %s: request %s arrives", w.id, id)
	target := r.Header.Get("Ebonyrill-Target-Instance")
	switch {
	case id == "":
		return w.turnAway(id, http.StatusBadRequest)
	case target != "" && target != w.id:
		return w.turnAway(id, http.StatusMisdirectedRequest)
	case w.keyed && !w.holdsKey(r.Header.Get("Ebonyrill-Shard-Key")):
		return w.turnAway(id, http.StatusMisdirectedRequest)
	}
	if !w.admit() {
		return w.turnAway(id, http.StatusServiceUnavailable)
	}
	left, err := strconv.Atoi(r.Header.Get("Ebonyrill-Deadline-Ms"))
	w.slot <- struct{}{}
	w.mutex.Lock()
	w.waiting--
	w.running++
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		w.running--
		w.mutex.Unlock()
		<-w.slot
	}()
	if err == nil && time.Since(arrived) > time.Duration(left)*time.Millisecond {
		return w.turnAway(id, http.StatusServiceUnavailable)
	}
	w.ledger.run(w.id, id)
	time.Sleep(w.work)
	w.record.write("worker %s: has run %s", w.id, id)
	text := fmt.Sprintf("done %s by %s, %d bytes\n", id, w.id, len(body)) + strings.Repeat("x", w.padding)
	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nEbonyrill-Attempt-Id: %s\r\nEbonyrill-Server-Seal: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		id, w.id, len(text), text))
}

// admit queues a request, or reports false if it is to be turned away.
func (w *worker) admit() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.running+w.waiting >= w.slots+w.queue || w.sheds != nil && w.sheds() {
		return false
	}
	w.waiting++
	return true
}

// turnAway returns an answer which says that the request has not run.
func (w *worker) turnAway(id string, status int) []byte {
	w.record.write("worker %s: turns %s away with %d", w.id, id, status)
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nEbonyrill-Attempt-Id: %s\r\nEbonyrill-Server-Seal: %s\r\nEbonyrill-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), id, w.id))
}
