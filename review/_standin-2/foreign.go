package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

func init() { cases["foreign"] = foreignHeartbeat }

// foreignHeartbeat starts two workers that divide the keys of a service. With trouble, another writer then sends one heartbeat that
// lacks a field and states the address of the first worker.
func foreignHeartbeat(e *env) (broken []string, err error) {
	s, l := e.site, newLedger(e.record)
	s.deploy(5, 1)
	if err = s.startAll(); err != nil {
		return nil, err
	}
	body := configBody("r7", []route{{name: "r-lists", host: "jepu9.example", prefix: "/lists/", kind: "idempotent", service: "archive1",
		timeoutMs: 3000, objectiveMs: 1200, attempts: 2}}, []service{{name: "archive1", keyed: true}})
	if status, err := s.patch(body, 15*time.Second); err != nil || status != 200 {
		return nil, fmt.Errorf("the first config was answered %d, %v", status, err)
	}
	var list []*worker
	for i := range 2 {
		w := &worker{record: e.record, ledger: l, controls: s.controlAddresses(), id: fmt.Sprintf("i-%04x", 0x5a10+i), service: "archive1",
			address: fmt.Sprintf("%s:%d", s.address(), s.ports.front), zone: zones[i], keyed: true, slots: 3, queue: 12, work: 20 * time.Millisecond}
		if err = w.start(); err != nil {
			return nil, err
		}
		defer w.stop()
		list = append(list, w)
	}
	if err = s.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	if !awaitAllHeld(l, list, 20*time.Second) {
		return nil, fmt.Errorf("the workers did not hold all keys")
	}
	time.Sleep(10 * time.Second)
	if e.trouble {
		beat := map[string]any{"service": "archive1", "address": list[0].address, "zone": list[0].zone, "slots": 3, "state": "ready",
			"cold-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(), "holds": []any{}, "released": []any{}}
		data, _ := json.Marshal(beat)
		status, err := post("http://"+s.controlAddresses()[1]+"/instances/i-other/heartbeat", data, time.Second)
		e.record.write("another writer: heartbeat without version, address of worker %s: status %d, error %v", list[0].id, status, err)
	}
	time.Sleep(12 * time.Second)
	return l.heldTwice(500 * time.Millisecond), nil
}

// awaitAllHeld waits until the workers together hold all keys.
func awaitAllHeld(l *ledger, list []*worker, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		var rows []row
		for _, w := range list {
			w.mutex.Lock()
			rows = append(rows, w.holds...)
			w.mutex.Unlock()
		}
		if covered(row{from: 0, to: maxKey}, rows) {
			return true
		}
	}
	return false
}

// maxKey is the largest key.
const maxKey = 65535

// span is a time in which a worker held a row of keys.
type span struct {
	worker   string
	row      row
	from, to time.Time
}

// spans returns the times in which workers held rows, by their own clocks.
func (l *ledger) spans() (list []span) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for worker, holdings := range l.holders {
		for i, h := range holdings {
			end := h.until
			if i+1 < len(holdings) && holdings[i+1].at.Before(end) {
				end = holdings[i+1].at
			}
			end = earliest(end, time.Now())
			for _, r := range h.rows {
				list = append(list, span{worker: worker, row: r, from: h.at, to: end})
			}
		}
	}
	return list
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// heldTwice returns the keys that two workers held at the same time for longer than a limit.
func (l *ledger) heldTwice(limit time.Duration) (list []string) {
	spans := joinSpans(l.spans())
	longest := map[string]time.Duration{}
	text := map[string]string{}
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			from, to := max(a.row.from, b.row.from), min(a.row.to, b.row.to)
			if a.worker == b.worker || from > to {
				continue
			}
			began, ended := a.from, earliest(a.to, b.to)
			if b.from.After(began) {
				began = b.from
			}
			both, pair := ended.Sub(began), a.worker+" and "+b.worker
			if both > limit && both > longest[pair] {
				longest[pair] = both
				text[pair] = fmt.Sprintf("OWNER: workers %s both hold keys %d to %d for %s, from %.3f s on", pair, from, to, both.Round(time.Millisecond),
					began.Sub(l.record.began).Seconds())
			}
		}
	}
	for _, t := range text {
		list = append(list, t)
	}
	slices.Sort(list)
	return list
}

// joinSpans joins the times of the same row and worker that follow one another.
func joinSpans(list []span) (joined []span) {
	slices.SortFunc(list, func(a, b span) int { return a.from.Compare(b.from) })
	for _, s := range list {
		i := slices.IndexFunc(joined, func(o span) bool { return o.worker == s.worker && o.row == s.row && !o.to.Before(s.from) })
		if i < 0 {
			joined = append(joined, s)
			continue
		}
		joined[i].to = s.to
	}
	return joined
}
