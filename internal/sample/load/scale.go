package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"ebonyrill.dev/ebonyrill/internal/entry/agent"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/stats"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// ScaleOptions describe a scale test: many entry hosts without callers, and the upstreams that announce themselves to
// them. Control and Admins are the peer and admin addresses of the control hosts.
type ScaleOptions struct {
	Control   []string
	Admins    []string
	Entries   int
	Upstreams int
	Duration  time.Duration
	Service   string
}

// scaleRun is a running scale test in one process. The entry hosts use the real code for lease renewals and table watches
// at the control hosts; the upstreams are simulated and only send announcements.
type scaleRun struct {
	options ScaleOptions
	agents  []*agent.Agent
	tables  []*route.Table
	clients []*wire.Client
	renewed atomic.Int64
	failed  atomic.Int64
	expired atomic.Int64
}

// ScaleReport is the result of a scale test. Renewed and Failed are announcements per second, Expired is the number of
// leases that expired. Sent and Received are bytes per second between one entry host and the control hosts. InForce is
// the time until a new configuration is in force at all entry hosts.
type ScaleReport struct {
	Renewed  float64
	Failed   float64
	Expired  int64
	Sent     float64
	Received float64
	InForce  time.Duration
	Hosts    []HostCost
}

// HostCost is the resource usage of one control host: mean CPU cores, and resident memory in bytes.
type HostCost struct {
	Cores    float64
	Resident float64
}

// Times of a scale test.
const (
	scaleLease      = time.Second
	scaleWarmUp     = 6 * time.Second
	announceTimeout = 900 * time.Millisecond
)

// RunScale starts the entry hosts and upstreams, waits for scaleWarmUp and measures for the duration given. It then calls
// publish and measures how long the new configuration takes to be in force at all entry hosts.
func RunScale(o ScaleOptions, publish func() (version uint64, err error)) (r ScaleReport, err error) {
	s := &scaleRun{options: o}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for i := range o.Entries {
		s.addEntry(ctx, &running, i)
	}
	for i := range o.Upstreams {
		running.Go(func() { s.announce(ctx, i) })
	}
	time.Sleep(scaleWarmUp)
	before, err := readUsage(o.Admins)
	if err != nil {
		return r, err
	}
	start := s.counts()
	time.Sleep(o.Duration)
	after, err := readUsage(o.Admins)
	if err != nil {
		return r, err
	}
	end, seconds := s.counts(), o.Duration.Seconds()
	r.Renewed, r.Failed = (end.renewed-start.renewed)/seconds, (end.failed-start.failed)/seconds
	r.Expired = s.expired.Load()
	r.Sent = (end.sent - start.sent) / seconds / float64(o.Entries)
	r.Received = (end.received - start.received) / seconds / float64(o.Entries)
	for i := range after {
		r.Hosts = append(r.Hosts, HostCost{Cores: (after[i].cpuSeconds - before[i].cpuSeconds) / seconds, Resident: after[i].resident})
	}
	r.InForce, err = s.measurePublish(publish)
	return r, err
}

// scaleCounts are the totals since the start of a scale test.
type scaleCounts struct {
	renewed, failed, sent, received float64
}

func (s *scaleRun) counts() (n scaleCounts) {
	n.renewed, n.failed = float64(s.renewed.Load()), float64(s.failed.Load())
	for _, client := range s.clients {
		n.sent += float64(client.Traffic().Sent())
		n.received += float64(client.Traffic().Received())
	}
	return n
}

func (s *scaleRun) addEntry(ctx context.Context, running *sync.WaitGroup, i int) {
	t := route.NewTable(fmt.Sprint("scale-", i), 1)
	host := table.EntryHost{Name: fmt.Sprint("scale-", i), Incarnation: uint64(time.Now().UnixNano()),
		Address: fmt.Sprintf("127.0.0.1:%d", 1+i), DataCentre: fmt.Sprint("centre-", i%7)}
	client := wire.NewClient(nil)
	s.clients = append(s.clients, client)
	a := agent.New(agent.Options{Host: host, Hosts: wire.NewHosts(client, s.options.Control), Lease: scaleLease,
		Table: t, Stats: stats.New(prometheus.NewRegistry()), Log: events.Nop()})
	s.agents, s.tables = append(s.agents, a), append(s.tables, t)
	running.Go(func() { _ = a.RunRenewals(ctx) })
	running.Go(func() { _ = a.RunWatch(ctx) })
}

// announce simulates upstream i: it sends its announcements to the entry hosts in turn. When its lease has expired, it
// goes on as a new incarnation.
func (s *scaleRun) announce(ctx context.Context, i int) {
	a := table.Announcement{Name: fmt.Sprint("up-", i), Incarnation: uint64(time.Now().UnixNano()), Service: s.options.Service,
		Address: fmt.Sprintf("127.0.0.2:%d", 1+i), DataCentre: fmt.Sprint("centre-", i%7), ChecksFence: true, Slots: 3, Connections: 130}
	for ctx.Err() == nil {
		a.Sequence++
		attempt, cancel := context.WithTimeout(ctx, announceTimeout)
		response, err := s.agents[(i+int(a.Sequence))%len(s.agents)].Announce(attempt, a)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			s.failed.Add(1)
		case err == nil && response.Status == table.GrantHeld:
			s.renewed.Add(1)
			a.Held = response.Version
		case err == nil && response.Status == table.GrantStale:
			s.expired.Add(1)
			a.Incarnation, a.Sequence, a.Held = uint64(time.Now().UnixNano()), 0, 0
		}
		time.Sleep(time.Duration(response.AgainMillis) * time.Millisecond)
	}
}

// measurePublish publishes and returns the time until all entry hosts have the new version.
func (s *scaleRun) measurePublish(publish func() (uint64, error)) (took time.Duration, err error) {
	started := time.Now()
	version, err := publish()
	if err != nil {
		return 0, err
	}
	for _, t := range s.tables {
		for t.View().Config().Version < version {
			if time.Since(started) > time.Minute {
				return 0, errors.Errorf("configuration %d is not in force at all entry hosts after 1 minute; lagging: %s", version, s.lagging(version))
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(started), nil
}

// lagging lists the entry hosts whose configuration is older than the version given, with their versions.
func (s *scaleRun) lagging(version uint64) string {
	var names []string
	for i, t := range s.tables {
		if v := t.View(); v.Config().Version < version {
			names = append(names, fmt.Sprintf("%d (table %d, configuration %d, lease %v)", i, v.Version(), v.Config().Version, s.agents[i].HasLease()))
		}
	}
	return strings.Join(names, ", ")
}

// usage is the CPU time that a daemon has used since its start, and its resident memory.
type usage struct {
	cpuSeconds float64
	resident   float64 // bytes
}

// readUsage reads the usage of daemons from the metrics at their admin addresses.
func readUsage(admins []string) (list []usage, err error) {
	for _, a := range admins {
		response, err := http.Get("http://" + a + "/metrics")
		if err != nil {
			return nil, err
		}
		u := parseUsage(response.Body)
		_ = response.Body.Close()
		list = append(list, u)
	}
	return list, nil
}

// parseUsage reads the usage from metrics in the Prometheus text format.
func parseUsage(r io.Reader) (u usage) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		var value float64
		if _, err := fmt.Sscan(text, &value); err != nil {
			continue
		}
		switch name {
		case "process_cpu_seconds_total":
			u.cpuSeconds = value
		case "process_resident_memory_bytes":
			u.resident = value
		}
	}
	return u
}

// Print writes the report as a row of a Markdown table. leader is the index of the leader among the control hosts.
func (r ScaleReport) Print(out io.Writer, o ScaleOptions, leader int) {
	var followers, resident float64
	for i, h := range r.Hosts {
		resident = max(resident, h.Resident)
		if i != leader {
			followers += h.Cores / float64(len(r.Hosts)-1)
		}
	}
	fmt.Fprintf(out, "| %d | %d | %d | %.0f | %.1f | %d | %.3f | %.3f | %.0f MB | %.1f KB | %v |\n", len(r.Hosts), o.Entries, o.Upstreams,
		r.Renewed, r.Failed, r.Expired, r.Hosts[leader].Cores, followers, resident/(1<<20), (r.Sent+r.Received)/1000,
		r.InForce.Round(time.Millisecond))
}
