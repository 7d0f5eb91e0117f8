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

// Service is a service that receives load: reads go to Prefix/KEY, writes to Prefix/KEY/Write.
type Service struct {
	Prefix string
	Write  string
}

// Options describe a load. Rate is in requests per second; WriteShare is the fraction of writes, 0 to 1.
type Options struct {
	Entries    []Entry
	Services   []Service
	Keys       int
	Rate       int
	Duration   time.Duration
	WriteShare float64
	Seed       uint64
}

// Request is one request of the load with the outcome that the caller received. At is the send time in Unix nanoseconds.
// Matches reports that the response is complete and belongs to this request.
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

// served reports whether the upstream ran the request and responded without a server error.
func (req Request) served() bool {
	return req.Outcome == string(relay.Done) && req.Status < http.StatusInternalServerError
}

// Result is the outcomes of all requests of a load.
type Result struct {
	Sent []Request `json:"sent"`
}

// driver sends one load and collects the outcomes. probing holds the keys that a probe runs for.
type driver struct {
	options  Options
	balancer *balancer
	client   *http.Client
	mutex    sync.Mutex
	result   Result
	probing  map[string]bool
}

// outcomeNoResponse is the outcome of a request without a response; entry hosts report the other outcomes. The other
// constants limit requests, idle connections and probes.
const (
	outcomeNoResponse = "noAnswer"
	requestTimeout    = 6 * time.Second
	maxIdlePerEntry   = 256
	probeInterval     = 20 * time.Millisecond
	probeTimeout      = 10 * time.Second
)

// Run sends the load at a constant rate, which does not depend on the responses, and waits until all requests have ended.
func Run(o Options) Result {
	d := &driver{options: o, balancer: newBalancer(o.Entries), probing: map[string]bool{}}
	d.client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerEntry}}
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
			if req := d.request(n, service, key, write); !req.served() {
				d.probe(n, service, key)
			}
		})
	}
	wait.Wait()
	return d.result
}

// request sends one request of the load and records its outcome. n numbers the requests of the load.
func (d *driver) request(n int, service Service, key string, write bool) (req Request) {
	req = Request{Key: service.Prefix + "/" + key, Write: write}
	if write {
		req.ID = fmt.Sprintf("r%d-%d", d.options.Seed, n)
	}
	d.send(&req, service, n)
	return req
}

// probe reads a key that was not served until it is served again or probeTimeout has passed. This way the measured
// unavailability of a key does not depend on how often the load requests it. At most one probe runs for a key.
func (d *driver) probe(n int, service Service, key string) {
	if !d.setProbing(service.Prefix+"/"+key, true) {
		return
	}
	defer d.setProbing(service.Prefix+"/"+key, false)
	for until := time.Now().Add(probeTimeout); time.Now().Before(until); time.Sleep(probeInterval) {
		req := Request{Key: service.Prefix + "/" + key, Probe: true}
		if d.send(&req, service, n); req.served() {
			return
		}
	}
}

// setProbing records whether a probe runs for a key, and reports whether this differs from before.
func (d *driver) setProbing(key string, on bool) (changed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	changed = d.probing[key] != on
	d.probing[key] = on
	return changed
}

// send sends a request and records its outcome. If an entry host refuses the connection, the request goes to another one.
func (d *driver) send(req *Request, service Service, n int) {
	started := time.Now()
	req.At = started.UnixNano()
	for range d.options.Entries {
		i, callers := d.balancer.pick()
		sent, err := d.attempt(req, callers, service, n)
		if err == nil || sent {
			break
		}
		d.balancer.setReady(i, false)
	}
	req.Took = time.Since(started)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.result.Sent = append(d.result.Sent, *req)
}

// attempt sends a request to one entry host. sent reports whether the request may have reached it.
func (d *driver) attempt(req *Request, callers string, service Service, n int) (sent bool, err error) {
	echo := fmt.Sprintf("body-%d", n)
	method, path, body := http.MethodGet, req.Key, io.Reader(nil)
	if req.Write {
		method, path, body = http.MethodPost, req.Key+"/"+service.Write, bytes.NewReader([]byte(echo))
	}
	r, err := http.NewRequest(method, "http://"+callers+path, body)
	if err != nil {
		return false, err
	}
	r.Header.Set("X-Caller", fmt.Sprintf("caller%d", n%20))
	if req.Write {
		r.Header.Set(relay.HeaderRequestID, req.ID)
		r.Header.Set(relay.HeaderAttempt, "1")
	}
	req.Outcome = outcomeNoResponse
	response, err := d.client.Do(r)
	if err != nil {
		return !strings.Contains(err.Error(), "connection refused"), err
	}
	defer func() { _ = response.Body.Close() }()
	req.Status, req.Outcome, req.Reason = response.StatusCode, response.Header.Get(relay.HeaderOutcome), response.Header.Get(relay.HeaderReason)
	req.Matches = d.responseMatches(response, req.Key, echo, req.Write)
	return true, nil
}

// responseMatches reports whether a response is complete and belongs to the request, by the key and body that the sample
// upstream returns. Responses with a status other than 200 are not checked.
func (d *driver) responseMatches(response *http.Response, key, echo string, write bool) bool {
	if response.StatusCode != http.StatusOK {
		return true
	}
	var content struct {
		Key  string `json:"key"`
		Echo string `json:"echo"`
	}
	if json.NewDecoder(response.Body).Decode(&content) != nil {
		return false
	}
	return strings.HasSuffix(key, "/"+content.Key) && (!write || content.Echo == echo)
}
