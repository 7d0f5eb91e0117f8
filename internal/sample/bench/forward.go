package bench

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Concurrent callers, duration of one measurement, and rounds.
const (
	forwardCallers  = 32
	forwardDuration = 4 * time.Second
	forwardRounds   = 3
)

// nopObserver is a relay observer that ignores all events.
type nopObserver struct{}

// Arrived is called for each request.
func (nopObserver) Arrived(string, uint64, uint64) {}

// UpstreamResult is called for each result of an upstream.
func (nopObserver) UpstreamResult(uint32, bool) {}

// Ended is called for each response.
func (nopObserver) Ended(string, relay.Outcome, relay.Reason, int, time.Duration, time.Duration) {}

// bareProxy returns the baseline: a proxy that passes each request to an HTTP transport and copies the response.
func bareProxy(target *url.URL) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next := r.Clone(r.Context())
		next.URL.Scheme, next.URL.Host, next.RequestURI = "http", target.Host, ""
		response, err := transport.RoundTrip(next)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

// newRelay returns the router's request handler with one service that is owned by one upstream.
func newRelay(address string) (h http.Handler, err error) {
	t := route.NewTable("e", 100)
	slices := []slice.Slice{{Owner: 1, Fence: 1}}
	set, err := slice.FromSlices(slices)
	if err != nil {
		return nil, err
	}
	text := "[service]\nname = s\nprefix = /s\nkey = path:2\nqueue = 10000\ndeadline = 10s\n"
	err = t.Apply(table.Delta{Full: true, To: 1, Config: &table.Config{Version: 1, Files: []conf.File{{Name: "s", Text: text}}},
		Entries:   []table.EntryHost{{Name: "e", DataCentre: "dc"}},
		Upstreams: []table.Upstream{{Number: 1, Name: "u", Service: "s", Address: address, DataCentre: "dc", ChecksFence: true, Slots: 64, Connections: 512}},
		Tables:    []table.SliceChanges{{Service: "s", All: slices}}, Digest: table.ServiceDigest("s", set)})
	return relay.NewHandler(relay.Options{Name: "e", Table: t, Scheme: "http", MaxBody: 1 << 20, MaxHeader: 1 << 15, MaxHold: time.Second,
		LeaseEnd: func() time.Time { return time.Now().Add(time.Hour) }, Observer: nopObserver{}, Log: events.Nop()}), err
}

// Forward compares the throughput and latency of the router's handler with those of the bare proxy, in alternation. The
// callers and the upstream run in the same process.
func Forward(out io.Writer) (err error) {
	body := strings.Repeat("x", 1024)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(relay.HeaderAttemptID, r.Header.Get(relay.HeaderAttemptID))
		_, _ = io.WriteString(w, body)
	}))
	defer upstream.Close()
	target, err := url.Parse(upstream.URL)
	if err != nil {
		return err
	}
	router, err := newRelay(target.Host)
	if err != nil {
		return err
	}
	baseline, subject := httptest.NewServer(bareProxy(target)), httptest.NewServer(router)
	defer baseline.Close()
	defer subject.Close()
	fmt.Fprintln(out, "| round | bare, requests/s | as built, requests/s | ratio | bare p99 at half load | as built p99 at half load |\n|---|---|---|---|---|---|")
	for round := range forwardRounds {
		b, _ := sendLoad(baseline.URL, 0)
		s, _ := sendLoad(subject.URL, 0)
		half := min(b, s) / 2
		_, bp := sendLoad(baseline.URL, half)
		_, sp := sendLoad(subject.URL, half)
		fmt.Fprintf(out, "| %d | %.0f | %.0f | %.2f | %.2f ms | %.2f ms |\n", round+1, b, s, s/b, millis(bp), millis(sp))
	}
	return nil
}

// sendLoad sends requests for forwardDuration from forwardCallers callers, each waiting for the response to its last one.
// rate limits the requests per second; zero means no limit. It returns the rate reached and the 99th percentile latency.
func sendLoad(address string, rate float64) (reached float64, p99 time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: forwardCallers}}
	var mutex sync.Mutex
	var wait sync.WaitGroup
	var times []time.Duration
	until := time.Now().Add(forwardDuration)
	for i := range forwardCallers {
		wait.Go(func() {
			latencies := sendUntil(client, fmt.Sprintf("%s/s/key%d", address, i), until, rate/forwardCallers)
			mutex.Lock()
			defer mutex.Unlock()
			times = append(times, latencies...)
		})
	}
	wait.Wait()
	return float64(len(times)) / forwardDuration.Seconds(), quantile(times, 0.99)
}

// sendUntil sends one request after another, at most rate per second if rate is not zero, and returns the latencies of
// those that succeeded.
func sendUntil(client *http.Client, location string, until time.Time, rate float64) (times []time.Duration) {
	next := time.Now()
	for time.Now().Before(until) {
		if rate > 0 {
			time.Sleep(time.Until(next))
			next = next.Add(time.Duration(float64(time.Second) / rate))
		}
		started := time.Now()
		response, err := client.Get(location)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			times = append(times, time.Since(started))
		}
	}
	return times
}
