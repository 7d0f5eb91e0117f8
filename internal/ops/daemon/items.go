package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"ebonyrill.dev/ebonyrill/internal/control/group"
	"ebonyrill.dev/ebonyrill/internal/entry/broker"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// Platform adapts the daemon to the protocols of a platform; it translates and decides nothing.
type Platform interface {
	// Dialect names the headers of callers and upstreams.
	HeaderNames() broker.HeaderNames
	// Control serves announcements and operators' calls at a control host.
	Control(g *group.Group, s *conf.Settings, log *events.Log) http.Handler
}

// forming returns how a control host finds its group.
func (d *Daemon) forming() (f group.Formation) {
	if !d.settings.SelfForming() {
		return f
	}
	return group.Formation{Seeds: d.settings.Control(), Bootstrap: d.settings.IsBootstrapHost(), Voters: d.settings.Voters(),
		Standby: !d.settings.Counted()}
}

// itemsReport is how often entry hosts that route by items tell their load: the busiest numbered keys change within seconds.
const itemsReport = time.Second

// reportPeriod returns how often load is told to control, zero for the usual.
func (d *Daemon) reportPeriod() time.Duration {
	if d.settings.Routing() == conf.RoutingItems {
		return itemsReport
	}
	return 0
}

// datagrams reports whether this host speaks to others by datagrams: only where the network between them is trusted.
func (d *Daemon) datagrams() bool { return d.security == nil && d.settings.Trusted() }

// openBroker makes the parts that route callers' requests by configuration items.
func (d *Daemon) openBroker() {
	d.broker = broker.New(broker.Options{Host: d.settings.Name(), DataCentre: d.settings.DataCentre(), Headers: d.platform.HeaderNames(),
		Address: d.settings.Peers(), Table: d.table, LeaveTime: d.settings.LeaveTime(), Observer: d.tally, Log: d.log, Clock: clock.Boot, ControlReachable: d.follower.ControlReachable,
		Retries: retry.Limits{Share: d.settings.RetryShare(), Base: d.settings.RetryBase(), Window: d.settings.RetryWindow()}})
	d.front = serve.New(serve.Options{Handler: d.broker.Handle, Limits: d.broker.Limits, Clock: clock.Boot, OnRejected: d.broker.Rejected,
		OnUnanswered: d.broker.Unanswered, OnPanic: d.broker.Panicked})
}

// addBroker listens for callers and adds the broker's parts to those that stop together.
func (d *Daemon) addBroker(ctx context.Context, cancel func(), parts *run.Group) (err error) {
	listener, err := net.Listen("tcp", d.settings.Callers())
	if err != nil {
		return err
	}
	addServer(parts, func() error { return d.front.Serve(listener) }, d.front.Close)
	parts.Add(func() error { return d.broker.Run(ctx) }, func(error) { cancel() })
	if !d.datagrams() {
		return nil
	}
	if err = d.broker.SchedulerNode().Listen(); err != nil {
		return err
	}
	parts.Add(func() error { return d.broker.SchedulerNode().Run(ctx) }, func(error) { cancel() })
	return nil
}

// serveReadyAlone answers the balancer at an address of its own, whatever the path.
func (d *Daemon) serveReadyAlone(w http.ResponseWriter, _ *http.Request) {
	if !d.isReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether the balancer may send callers here.
func (d *Daemon) isReady() bool {
	if d.stopping.Load() || d.table == nil {
		return false
	}
	view := d.table.View()
	if d.broker != nil {
		return !view.Items().Router().Empty()
	}
	return view.Version() > 0
}
