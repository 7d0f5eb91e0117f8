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

// ScaleOptions describe many entry hosts without callers, with the upstreams that announce themselves to them.
type ScaleOptions struct {
	Control   []string
	Admins    []string
	Entries   int
	Upstreams int
	Duration  time.Duration
	Service   string
}

// scaleRun is entry hosts' real ties to control in one process, and upstreams that are stand-ins.
type scaleRun struct {
	options   ScaleOptions
	followers []*agent.Agent
	tables    []*route.Table
	clients   []*wire.Client
	renewed   atomic.Int64
	failed    atomic.Int64
	lapsed    atomic.Int64
}

// ScaleReport is what a run saw and what it cost: announcements a second that were renewed or not, bytes a second to
// and from control for one entry host, and what each control host used.
type ScaleReport struct {
	Renewed  float64
	Failed   float64
	Expired  int64
	Sent     float64
	Received float64
	InForce  time.Duration
	Hosts    []HostCost
}

// HostCost is what one control host used: cores, and bytes of memory.
type HostCost struct {
	Cores    float64
	Resident float64
}

// Times of a run.
const (
	scaleLease  = time.Second
	scaleSettle = 6 * time.Second
	scaleTry    = 900 * time.Millisecond
)

// RunScale starts entry hosts and upstreams, lets it settle, measures for the duration, and then publishes by the function given and
// measures how long the new configuration takes to be in force at all entry hosts.
func RunScale(o ScaleOptions, publish func() (version uint64, err error)) (r ScaleReport, err error) {
	c := &scaleRun{options: o}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for i := range o.Entries {
		c.addEntry(ctx, &running, i)
	}
	for i := range o.Upstreams {
		running.Go(func() { c.announce(ctx, i) })
	}
	time.Sleep(scaleSettle)
	before, err := samples(o.Admins)
	if err != nil {
		return r, err
	}
	start := c.counts()
	time.Sleep(o.Duration)
	after, err := samples(o.Admins)
	if err != nil {
		return r, err
	}
	end, seconds := c.counts(), o.Duration.Seconds()
	r.Renewed, r.Failed = (end.renewed-start.renewed)/seconds, (end.failed-start.failed)/seconds
	r.Expired = c.lapsed.Load()
	r.Sent = (end.sent - start.sent) / seconds / float64(o.Entries)
	r.Received = (end.received - start.received) / seconds / float64(o.Entries)
	for i := range after {
		r.Hosts = append(r.Hosts, HostCost{Cores: (after[i].processor - before[i].processor) / seconds, Resident: after[i].resident})
	}
	r.InForce, err = c.inForce(publish)
	return r, err
}

// scaleCounts are the counts of a run since it started.
type scaleCounts struct {
	renewed, failed, sent, received float64
}

func (c *scaleRun) counts() (n scaleCounts) {
	n.renewed, n.failed = float64(c.renewed.Load()), float64(c.failed.Load())
	for _, w := range c.clients {
		n.sent += float64(w.Traffic().Sent())
		n.received += float64(w.Traffic().Received())
	}
	return n
}

func (c *scaleRun) addEntry(ctx context.Context, running *sync.WaitGroup, i int) {
	t := route.NewTable(fmt.Sprint("scale-", i), 1)
	host := table.EntryHost{Name: fmt.Sprint("scale-", i), Incarnation: uint64(time.Now().UnixNano()),
		Address: fmt.Sprintf("127.0.0.1:%d", 1+i), DataCentre: fmt.Sprint("centre-", i%7)}
	client := wire.NewClient(nil)
	c.clients = append(c.clients, client)
	f := agent.New(agent.Options{Host: host, Hosts: wire.NewHosts(client, c.options.Control), Lease: scaleLease,
		Table: t, Stats: stats.New(prometheus.NewRegistry()), Log: events.Nop()})
	c.followers, c.tables = append(c.followers, f), append(c.tables, t)
	running.Go(func() { _ = f.RunRenewals(ctx) })
	running.Go(func() { _ = f.RunWatch(ctx) })
}

// announce is one upstream: it announces itself to one entry host after the other.
func (c *scaleRun) announce(ctx context.Context, i int) {
	a := table.Announcement{Name: fmt.Sprint("up-", i), Incarnation: uint64(time.Now().UnixNano()), Service: c.options.Service,
		Address: fmt.Sprintf("127.0.0.2:%d", 1+i), DataCentre: fmt.Sprint("centre-", i%7), ChecksFence: true, Slots: 3, Connections: 130}
	for ctx.Err() == nil {
		a.Sequence++
		try, cancel := context.WithTimeout(ctx, scaleTry)
		g, err := c.followers[(i+int(a.Sequence))%len(c.followers)].Announce(try, a)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			c.failed.Add(1)
		case err == nil && g.Status == table.GrantHeld:
			c.renewed.Add(1)
			a.Held = g.Version
		case err == nil && g.Status == table.GrantStale:
			c.lapsed.Add(1)
			a.Incarnation, a.Sequence, a.Held = uint64(time.Now().UnixNano()), 0, 0
		}
		time.Sleep(time.Duration(g.AgainMillis) * time.Millisecond)
	}
}

// inForce publishes and waits until each entry host has the version.
func (c *scaleRun) inForce(publish func() (uint64, error)) (took time.Duration, err error) {
	started := time.Now()
	version, err := publish()
	if err != nil {
		return 0, err
	}
	for _, t := range c.tables {
		for t.View().Config().Version < version {
			if time.Since(started) > time.Minute {
				return 0, errors.Errorf("configuration %d is not in force everywhere after a minute: %s", version, c.lagging(version))
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(started), nil
}

// lagging names the entry hosts that lack a configuration, with their versions.
func (c *scaleRun) lagging(version uint64) string {
	var names []string
	for i, t := range c.tables {
		if v := t.View(); v.Config().Version < version {
			names = append(names, fmt.Sprintf("%d (table %d, configuration %d, lease %v)", i, v.Version(), v.Config().Version, c.followers[i].HasLease()))
		}
	}
	return strings.Join(names, ", ")
}

// sample is what a daemon used since it started.
type sample struct {
	processor float64
	resident  float64
}

// samples reads the metrics of daemons.
func samples(admins []string) (list []sample, err error) {
	for _, a := range admins {
		response, err := http.Get("http://" + a + "/metrics")
		if err != nil {
			return nil, err
		}
		s := readSample(response.Body)
		_ = response.Body.Close()
		list = append(list, s)
	}
	return list, nil
}

func readSample(r io.Reader) (s sample) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		var value float64
		if _, err := fmt.Sscan(text, &value); err != nil {
			continue
		}
		switch name {
		case "process_cpu_seconds_total":
			s.processor = value
		case "process_resident_memory_bytes":
			s.resident = value
		}
	}
	return s
}

// Print writes the report as a row of a table; the leader is a position among the control hosts.
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
