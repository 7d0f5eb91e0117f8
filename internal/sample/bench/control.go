package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/control/group"
	"ebonyrill.dev/ebonyrill/internal/control/lease"
	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// controlHost is a real control host in this process, reachable over loopback.
type controlHost struct {
	group   *group.Group
	server  *httptest.Server
	address string
	client  *wire.Client
	folder  string
}

// newControlHost starts a control host, bootstraps a group of it alone, and publishes a service.
func newControlHost() (c *controlHost, err error) {
	c = &controlHost{client: wire.NewClient(nil)}
	if c.folder, err = os.MkdirTemp("", "ebonyrill-capacity"); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	c.server = httptest.NewServer(mux)
	c.address = c.server.Listener.Addr().String()
	c.group, err = group.Open(group.Options{Name: "c", Address: c.address, DataCentre: "dc", Folder: c.folder,
		LeaseTiming: lease.NewTiming(5*time.Second, time.Second), Timing: raft.DefaultTiming(), Client: c.client, Log: events.Nop()})
	if err != nil {
		return nil, err
	}
	c.group.Serve(mux)
	go func() { _ = c.group.Run() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	self, err := wire.Call[oper.Empty, oper.Identity](ctx, c.client, c.address, oper.Identify, &oper.Empty{})
	if err != nil {
		return nil, err
	}
	if _, err = wire.Call[oper.BootstrapRequest, oper.Identity](ctx, c.client, c.address, oper.Bootstrap, &oper.BootstrapRequest{Members: []oper.Identity{*self}}); err != nil {
		return nil, err
	}
	return c, c.publish("start")
}

func (c *controlHost) close() {
	c.server.CloseClientConnections()
	c.group.Stop()
	c.server.Close()
	_ = os.RemoveAll(c.folder)
}

// publish publishes a configuration with one service. The id is part of the text, so that each call makes a new version.
func (c *controlHost) publish(id string) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	hosts := wire.NewHosts(c.client, []string{c.address})
	current, err := wire.CallLeader[oper.Empty, table.Config](ctx, hosts, time.Second, oper.Current, &oper.Empty{})
	if err != nil {
		return err
	}
	file := conf.File{Name: "s", Text: "# " + id + "\n[service]\nname = s\nprefix = /s\nkey = path:2\nslices = 4096\n"}
	result, err := wire.CallLeader[oper.PublishRequest, table.PublishResult](ctx, hosts, time.Second, oper.Publish, &oper.PublishRequest{
		ID: time.Now().UTC().Format(oper.PublishTime) + "-" + id, Base: current.Version, By: "trial", Files: []conf.File{file}})
	if err == nil && !result.Accepted {
		return errors.New("configuration rejected: " + result.Reason)
	}
	return err
}

// Calls that are measured, calls before them, and the time to wait for joins and first assignments in between.
const (
	renewalRounds = 400
	renewalWarmUp = 100
	settleTime    = 2 * time.Second
)

// measureRenewals measures the CPU time, of client and server together, of a renewal against the number of announcements in
// it, and of a batch of renewals against their number.
func measureRenewals(out io.Writer) (err error) {
	c, err := newControlHost()
	if err != nil {
		return err
	}
	defer c.close()
	if err = c.measureSingle(out); err != nil {
		return err
	}
	return c.measureBatches(out)
}

// newRenewal returns the renewal of an entry host with the announcements of the given number of upstreams.
func newRenewal(host, upstreams int) (r table.Renewal) {
	r.Host = table.EntryHost{Name: fmt.Sprint("e", host), Incarnation: 1, Address: "127.0.0.1:1", DataCentre: "dc"}
	for i := range upstreams {
		r.Announcements = append(r.Announcements, table.Announcement{Name: fmt.Sprintf("upstream-%d-%d", host, i), Incarnation: 1, Service: "s",
			Address: "127.0.0.1:1", DataCentre: "dc", Slots: 3, Connections: 130, Healthy: true, ChecksFence: true})
	}
	return r
}

// prepareNext updates a renewal for its next call: it sets the sequence number of the announcements, and acknowledges the
// grants in the last response, if any.
func prepareNext(r *table.Renewal, sequence uint64, response *table.RenewalResponse) {
	for i := range r.Announcements {
		r.Announcements[i].Sequence = sequence
		if response != nil && i < len(response.Grants) {
			r.Announcements[i].Held = response.Grants[i].Version
		}
	}
}

// timePerCall returns the mean CPU time of a call in microseconds. It first makes renewalWarmUp calls, and waits half-way
// until joins and first assignments are done.
func timePerCall(call func(sequence uint64) error) (micros float64, err error) {
	var used time.Duration
	for round := range renewalRounds + renewalWarmUp {
		if round == renewalWarmUp/2 {
			time.Sleep(settleTime)
		}
		if round == renewalWarmUp {
			used = cpuTime()
		}
		if err = call(uint64(round) + 1); err != nil {
			return 0, err
		}
	}
	return float64((cpuTime() - used).Microseconds()) / renewalRounds, nil
}

// measureSingle measures calls with one renewal each.
func (c *controlHost) measureSingle(out io.Writer) (err error) {
	var points, bytes []point
	for host, upstreams := range []int{1, 10, 40} {
		r := newRenewal(host, upstreams)
		var response *table.RenewalResponse
		took, err := timePerCall(func(sequence uint64) (err error) {
			prepareNext(&r, sequence, response)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err = wire.Call[table.Renewal, table.RenewalResponse](ctx, c.client, c.address, oper.Renew, &r)
			return err
		})
		if err != nil {
			return err
		}
		points = append(points, point{float64(upstreams), took})
		bytes = append(bytes, point{float64(upstreams), encodedBytes(r)})
	}
	writeRow(out, "renewal, processor time of both sides", "announcements", "µs", points)
	writeRow(out, "renewal on the wire, without load counts", "announcements", "bytes", bytes)
	return nil
}

// measureBatches measures calls with many renewals of one announcement each, as followers forward them to the leader.
func (c *controlHost) measureBatches(out io.Writer) (err error) {
	var points []point
	for step, count := range []int{10, 40, 160} {
		b := &table.RenewalBatch{}
		for i := range count {
			b.Renewals = append(b.Renewals, newRenewal(1000*(step+1)+i, 1))
		}
		response := &table.RenewalBatchResponse{}
		took, err := timePerCall(func(sequence uint64) (err error) {
			for i := range b.Renewals {
				var last *table.RenewalResponse
				if i < len(response.Responses) {
					last = &response.Responses[i]
				}
				prepareNext(&b.Renewals[i], sequence, last)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err = wire.Call[table.RenewalBatch, table.RenewalBatchResponse](ctx, c.client, c.address, oper.RenewMany, b)
			return err
		})
		if err != nil {
			return err
		}
		points = append(points, point{float64(count), took})
	}
	writeRow(out, "call with many renewals, processor time of both sides", "renewals", "µs", points)
	return nil
}

// measureWatches measures how long a new configuration takes to reach all watching hosts, and the CPU time that this and
// an idle watch take.
func measureWatches(out io.Writer) (err error) {
	c, err := newControlHost()
	if err != nil {
		return err
	}
	defer c.close()
	var delays, cost, idleCost []point
	for _, count := range []int{100, 200, 400} {
		took, used, idle, err := c.fanOut(count)
		if err != nil {
			return err
		}
		delays = append(delays, point{float64(count), float64(took) / float64(time.Millisecond)})
		cost = append(cost, point{float64(count), float64(used) / float64(time.Millisecond)})
		idleCost = append(idleCost, point{float64(count), float64(idle) / float64(time.Millisecond)})
	}
	writeRow(out, "publish until the last watching host has it", "hosts", "ms", delays)
	writeRow(out, "publish, processor time of all sides", "hosts", "ms", cost)
	writeRow(out, "watching for 2 s without news, processor time of all sides", "hosts", "ms", idleCost)
	return nil
}

// fanOut starts count watching hosts, lets them idle for 2 s, publishes, and waits until all have the new version. It
// returns the time and CPU time from the publish on, and the CPU time of the idle watches.
func (c *controlHost) fanOut(count int) (took, used, idle time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	versions := make([]chan uint64, count)
	for i := range versions {
		versions[i] = make(chan uint64, 64)
		wait.Go(func() { c.watch(ctx, i, versions[i]) })
	}
	for _, v := range versions {
		<-v
	}
	before := cpuTime()
	time.Sleep(2 * time.Second)
	idle = cpuTime() - before
	before = cpuTime()
	started := time.Now()
	if err = c.publish(fmt.Sprint("fan-", count)); err != nil {
		return 0, 0, 0, err
	}
	for _, v := range versions {
		<-v
	}
	took, used = time.Since(started), cpuTime()-before
	cancel()
	wait.Wait()
	return took, used, idle, nil
}

// watch simulates one watching host. It sends the version of each new configuration to versions.
func (c *controlHost) watch(ctx context.Context, number int, versions chan<- uint64) {
	view := table.NewView()
	client := wire.NewClient(nil)
	for ctx.Err() == nil {
		w := &table.Watch{Name: fmt.Sprint("e", number), Version: view.Version(), Digest: view.Digest(), MaxWait: time.Second}
		d, err := wire.Call[table.Watch, table.Delta](ctx, client, c.address, oper.Watch, w)
		if err != nil {
			continue
		}
		next, err := view.Apply(*d)
		if err != nil {
			continue
		}
		if next.Config().Version != view.Config().Version {
			versions <- next.Config().Version
		}
		view = next
	}
}
