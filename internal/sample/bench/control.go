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

// control is one real control host in this process, served over loopback.
type control struct {
	group   *group.Group
	server  *httptest.Server
	address string
	client  *wire.Client
	folder  string
}

func newControl() (c *control, err error) {
	c = &control{client: wire.NewClient(nil)}
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
	me, err := wire.Call[oper.Empty, oper.Identity](ctx, c.client, c.address, oper.Identify, &oper.Empty{})
	if err != nil {
		return nil, err
	}
	if _, err = wire.Call[oper.BootstrapRequest, oper.Identity](ctx, c.client, c.address, oper.Bootstrap, &oper.BootstrapRequest{Members: []oper.Identity{*me}}); err != nil {
		return nil, err
	}
	return c, c.publish("start")
}

func (c *control) close() {
	c.server.CloseClientConnections()
	c.group.Stop()
	c.server.Close()
	_ = os.RemoveAll(c.folder)
}

// publish puts one service in force; the id makes each a new version.
func (c *control) publish(id string) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	hosts := wire.NewHosts(c.client, []string{c.address})
	current, err := wire.CallLeader[oper.Empty, table.Config](ctx, hosts, time.Second, oper.Current, &oper.Empty{})
	if err != nil {
		return err
	}
	file := conf.File{Name: "s", Text: "# " + id + "\n[service]\nname = s\nprefix = /s\nkey = path:2\nslices = 4096\n"}
	o, err := wire.CallLeader[oper.PublishRequest, table.PublishResult](ctx, hosts, time.Second, oper.Publish, &oper.PublishRequest{
		ID: time.Now().UTC().Format(oper.PublishTime) + "-" + id, Base: current.Version, By: "trial", Files: []conf.File{file}})
	if err == nil && !o.Accepted {
		return errors.New("publish was not accepted: " + o.Reason)
	}
	return err
}

// Rounds, and time until joins and first assignments are over.
const (
	renewalRounds = 400
	renewalWarmUp = 100
	settleTime    = 2 * time.Second
)

// renewals measures what a renewal costs both sides together, against the announcements in it, and what a call with many
// renewals costs, against their number.
func renewals(out io.Writer) (err error) {
	c, err := newControl()
	if err != nil {
		return err
	}
	defer c.close()
	if err = c.measureRenewals(out); err != nil {
		return err
	}
	return c.measureBatches(out)
}

// renewalOf returns the renewal of an entry host with announcements of upstreams of its own.
func renewalOf(host, upstreams int) (r table.Renewal) {
	r.Host = table.EntryHost{Name: fmt.Sprint("e", host), Incarnation: 1, Address: "127.0.0.1:1", DataCentre: "dc"}
	for i := range upstreams {
		r.Announcements = append(r.Announcements, table.Announcement{Name: fmt.Sprintf("upstream-%d-%d", host, i), Incarnation: 1, Service: "s",
			Address: "127.0.0.1:1", DataCentre: "dc", Slots: 3, Connections: 130, Healthy: true, ChecksFence: true})
	}
	return r
}

// next gives a renewal's announcements a new sequence number and what was answered to the last.
func next(r *table.Renewal, sequence uint64, answer *table.RenewalResponse) {
	for i := range r.Announcements {
		r.Announcements[i].Sequence = sequence
		if answer != nil && i < len(answer.Grants) {
			r.Announcements[i].Held = answer.Grants[i].Version
		}
	}
}

// perRound makes calls until joins and first assignments are over and then measures the processor time of each.
func perRound(call func(sequence uint64) error) (micros float64, err error) {
	var used time.Duration
	for round := range renewalRounds + renewalWarmUp {
		if round == renewalWarmUp/2 {
			time.Sleep(settleTime)
		}
		if round == renewalWarmUp {
			used = processorTime()
		}
		if err = call(uint64(round) + 1); err != nil {
			return 0, err
		}
	}
	return float64((processorTime() - used).Microseconds()) / renewalRounds, nil
}

func (c *control) measureRenewals(out io.Writer) (err error) {
	var points, bytes []point
	for host, upstreams := range []int{1, 10, 40} {
		r := renewalOf(host, upstreams)
		var answer *table.RenewalResponse
		took, err := perRound(func(sequence uint64) (err error) {
			next(&r, sequence, answer)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			answer, err = wire.Call[table.Renewal, table.RenewalResponse](ctx, c.client, c.address, oper.Renew, &r)
			return err
		})
		if err != nil {
			return err
		}
		points = append(points, point{float64(upstreams), took})
		bytes = append(bytes, point{float64(upstreams), encodedBytes(r)})
	}
	row(out, "renewal, processor time of both sides", "announcements", "µs", points)
	row(out, "renewal on the wire, without load counts", "announcements", "bytes", bytes)
	return nil
}

// measureBatches measures calls with renewals of one announcement each, as a host that follows makes them to the leader.
func (c *control) measureBatches(out io.Writer) (err error) {
	var points []point
	for step, count := range []int{10, 40, 160} {
		b := &table.RenewalBatch{}
		for i := range count {
			b.Renewals = append(b.Renewals, renewalOf(1000*(step+1)+i, 1))
		}
		answer := &table.RenewalBatchResponse{}
		took, err := perRound(func(sequence uint64) (err error) {
			for i := range b.Renewals {
				var last *table.RenewalResponse
				if i < len(answer.Responses) {
					last = &answer.Responses[i]
				}
				next(&b.Renewals[i], sequence, last)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			answer, err = wire.Call[table.RenewalBatch, table.RenewalBatchResponse](ctx, c.client, c.address, oper.RenewMany, b)
			return err
		})
		if err != nil {
			return err
		}
		points = append(points, point{float64(count), took})
	}
	row(out, "call with many renewals, processor time of both sides", "renewals", "µs", points)
	return nil
}

// watches measures how long a new configuration takes to reach all of many watching hosts, and what it costs.
func watches(out io.Writer) (err error) {
	c, err := newControl()
	if err != nil {
		return err
	}
	defer c.close()
	var spread, cost, idle []point
	for _, count := range []int{100, 200, 400} {
		took, used, resting, err := c.fanOut(count)
		if err != nil {
			return err
		}
		spread = append(spread, point{float64(count), float64(took) / float64(time.Millisecond)})
		cost = append(cost, point{float64(count), float64(used) / float64(time.Millisecond)})
		idle = append(idle, point{float64(count), float64(resting) / float64(time.Millisecond)})
	}
	row(out, "publish until the last watching host has it", "hosts", "ms", spread)
	row(out, "publish, processor time of all sides", "hosts", "ms", cost)
	row(out, "watching for 2 s without news, processor time of all sides", "hosts", "ms", idle)
	return nil
}

// fanOut lets hosts watch, rests, publishes, and waits until all have the new version.
func (c *control) fanOut(count int) (took, used, resting time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	views := make([]chan uint64, count)
	for i := range views {
		views[i] = make(chan uint64, 64)
		wait.Go(func() { c.follow(ctx, i, views[i]) })
	}
	for _, v := range views {
		<-v
	}
	before := processorTime()
	time.Sleep(2 * time.Second)
	resting = processorTime() - before
	before = processorTime()
	started := time.Now()
	if err = c.publish(fmt.Sprint("fan-", count)); err != nil {
		return 0, 0, 0, err
	}
	for _, v := range views {
		<-v
	}
	took, used = time.Since(started), processorTime()-before
	cancel()
	wait.Wait()
	return took, used, resting, nil
}

// follow is one watching host.
func (c *control) follow(ctx context.Context, number int, versions chan<- uint64) {
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
