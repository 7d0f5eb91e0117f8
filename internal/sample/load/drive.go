package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
)

// Service is one service that load goes to.
type Service struct {
	Prefix string
	Write  string
}

// Options describe a load.
type Options struct {
	Entries    []Entry
	Services   []Service
	Keys       int
	Rate       int
	Duration   time.Duration
	WriteShare float64
	Seed       uint64
}

// Request is one request with what the caller was told.
type Request struct {
	Key     string        `json:"key"`
	ID      string        `json:"id,omitempty"`
	Write   bool          `json:"write"`
	At      int64         `json:"at"`
	Took    time.Duration `json:"took"`
	Outcome string        `json:"outcome"`
	Reason  string        `json:"reason,omitempty"`
	Status  int           `json:"status"`
	Matches bool          `json:"own"`
	Probe   bool          `json:"probe,omitempty"`
}

// good reports whether the caller was served.
func (s Request) good() bool {
	return s.Outcome == string(relay.Done) && s.Status < http.StatusInternalServerError
}

// Result is what callers saw.
type Result struct {
	Sent []Request `json:"sent"`
}

// driver sends one load.
type driver struct {
	options  Options
	balancer *balancer
	client   *http.Client
	mutex    sync.Mutex
	result   Result
	probed   map[string]bool
}

// Outcomes that the driver adds to those of entry hosts.
const (
	outcomeNoAnswer = "noAnswer"
	requestTimeout  = 6 * time.Second
	idlePerEntry    = 256
	probePause      = 20 * time.Millisecond
	probeBound      = 10 * time.Second
)

// Run sends the load at a steady rate, whatever the answers, and waits for all of them.
func Run(o Options) Result {
	d := &driver{options: o, balancer: newBalancer(o.Entries), probed: map[string]bool{}}
	d.client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idlePerEntry}}
	ctx, cancel := context.WithTimeout(context.Background(), o.Duration)
	defer cancel()
	go d.balancer.run(ctx)
	random := rand.New(rand.NewPCG(o.Seed, 1))
	zipf := rand.NewZipf(random, 1.1, 4, uint64(o.Keys-1))
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(o.Rate))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		service := o.Services[random.IntN(len(o.Services))]
		key := fmt.Sprintf("k%d", zipf.Uint64())
		write := random.Float64() < o.WriteShare
		wait.Go(func() {
			if s := d.one(n, service, key, write); !s.good() {
				d.probe(n, service, key)
			}
		})
	}
	wait.Wait()
	return d.result
}

// one sends one request and notes what became of it.
func (d *driver) one(n int, service Service, key string, write bool) (s Request) {
	s = Request{Key: service.Prefix + "/" + key, Write: write}
	if write {
		s.ID = fmt.Sprintf("r%d-%d", d.options.Seed, n)
	}
	d.send(&s, service, n)
	return s
}

// probe asks for a key that was not served until it is, so that the time it was not served does not depend on how often
// callers ask for it.
func (d *driver) probe(n int, service Service, key string) {
	if !d.claim(service.Prefix+"/"+key, true) {
		return
	}
	defer d.claim(service.Prefix+"/"+key, false)
	for until := time.Now().Add(probeBound); time.Now().Before(until); time.Sleep(probePause) {
		s := Request{Key: service.Prefix + "/" + key, Probe: true}
		if d.send(&s, service, n); s.good() {
			return
		}
	}
}

// claim notes that a key is being probed, or no longer, and reports whether that is news.
func (d *driver) claim(key string, on bool) (news bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	news = d.probed[key] != on
	d.probed[key] = on
	return news
}

// send sends a request; a connection that could not be made is tried at another entry host.
func (d *driver) send(s *Request, service Service, n int) {
	started := time.Now()
	s.At = started.UnixNano()
	for range d.options.Entries {
		i, callers := d.balancer.pick()
		sent, err := d.try(s, callers, service, n)
		if err == nil || sent {
			break
		}
		d.balancer.set(i, false)
	}
	s.Took = time.Since(started)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.result.Sent = append(d.result.Sent, *s)
}

func (d *driver) try(s *Request, callers string, service Service, n int) (sent bool, err error) {
	echo := fmt.Sprintf("body-%d", n)
	method, path, body := http.MethodGet, s.Key, io.Reader(nil)
	if s.Write {
		method, path, body = http.MethodPost, s.Key+"/"+service.Write, bytes.NewReader([]byte(echo))
	}
	r, err := http.NewRequest(method, "http://"+callers+path, body)
	if err != nil {
		return false, err
	}
	r.Header.Set("X-Caller", fmt.Sprintf("caller%d", n%20))
	if s.Write {
		r.Header.Set(relay.HeaderRequestID, s.ID)
		r.Header.Set(relay.HeaderAttempt, "1")
	}
	s.Outcome = outcomeNoAnswer
	response, err := d.client.Do(r)
	if err != nil {
		return !strings.Contains(err.Error(), "connection refused"), err
	}
	defer func() { _ = response.Body.Close() }()
	s.Status, s.Outcome, s.Reason = response.StatusCode, response.Header.Get(relay.HeaderOutcome), response.Header.Get(relay.HeaderReason)
	s.Matches = d.own(response, s.Key, echo, s.Write)
	return true, nil
}

// own reports whether the answer is whole and belongs to the request.
func (d *driver) own(response *http.Response, key, echo string, write bool) bool {
	if response.StatusCode != http.StatusOK {
		return true
	}
	var answer struct {
		Key  string `json:"key"`
		Echo string `json:"echo"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return false
	}
	return strings.HasSuffix(key, "/"+answer.Key) && (!write || answer.Echo == echo)
}
