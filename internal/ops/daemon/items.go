package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/oklog/run"

	"ebonyrill.dev/ebonyrill/internal/control/group"
	"ebonyrill.dev/ebonyrill/internal/entry/broker"
	"ebonyrill.dev/ebonyrill/internal/entry/cold"
	"ebonyrill.dev/ebonyrill/internal/entry/link"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/memory"
)

// Platform adapts the daemon to the protocols of the platform that callers, upstreams and operators use. It only translates.
type Platform interface {
	// HeaderNames returns the names of the headers that callers and upstreams use.
	HeaderNames() broker.HeaderNames
	// MaxBodyBytes returns the length of the longest body of a call to the handler of Control, in bytes.
	MaxBodyBytes() int64
	// Control returns the handler of upstreams' announcements and operators' calls on a control host.
	Control(g *group.Group, s *conf.Settings, log *events.Log) http.Handler
}

// formation returns how this control host forms or joins its group; it is empty if operators form the group by command.
func (d *Daemon) formation() (f group.Formation) {
	if !d.settings.SelfForming() {
		return f
	}
	return group.Formation{Seeds: d.settings.Control(), Bootstrap: d.settings.IsBootstrapHost(), Voters: d.settings.Voters(),
		Standby: !d.settings.Counted()}
}

// itemsReportPeriod is the period of load reports of entry hosts that route by configuration items. It is short because the
// busiest keys change within seconds.
const itemsReportPeriod = time.Second

// reportPeriod returns the period of load reports to control, or zero for the default.
func (d *Daemon) reportPeriod() time.Duration {
	if d.settings.Routing() == conf.RoutingItems {
		return itemsReportPeriod
	}
	return 0
}

// useDatagrams reports whether this host exchanges datagrams with other hosts: only without TLS, and if the settings declare the
// network between the hosts as trusted.
func (d *Daemon) useDatagrams() bool { return d.security == nil && d.settings.Trusted() }

// openBroker creates the parts that route callers' requests by configuration items.
func (d *Daemon) openBroker() {
	if d.link = link.New(d.settings.Link(), clock.Boot); d.link != nil {
		d.gate.CountTraffic(d.link)
	}
	d.broker = broker.New(broker.Options{Host: d.settings.Name(), DataCentre: d.settings.DataCentre(), Headers: d.platform.HeaderNames(),
		Address: d.settings.Peers(), Table: d.table, Link: d.link, LeaveTime: d.settings.LeaveTime(), Windows: d.settings.Windows(), Observer: d.stats,
		UpstreamConnections: d.gate.Plan().Upstreams(), Cold: cold.NewAllowance(d.settings.ColdOverrun(), d.settings.ColdSlack()), ControlReachable: d.agent.ControlReachable,
		ControlSilence: d.agent.Silence, OnLeaving: d.agent.ReportLeaving, Log: d.log, Clock: clock.Boot,
		Retries: retry.Limits{Share: d.settings.RetryShare(), Base: d.settings.RetryBase(), Window: d.settings.RetryWindow()}})
	d.brokerServer = serve.New(serve.Options{Handler: d.broker.Handle, Limits: d.broker.Limits, Clock: clock.Boot, OnRejected: d.broker.Rejected,
		OnUnanswered: d.broker.Unanswered, OnPanic: d.broker.Panicked})
}

// addBroker listens for callers and adds the broker, its server and its scheduler node to the parts.
func (d *Daemon) addBroker(ctx context.Context, cancel func(), parts *run.Group) (err error) {
	listener, err := d.gate.Listen(d.settings.Callers(), memory.CallerUse)
	if err != nil {
		return err
	}
	addServer(parts, func() error { return d.brokerServer.Serve(listener) }, d.brokerServer.Close)
	parts.Add(func() error { return d.broker.Run(ctx) }, func(error) { cancel() })
	if !d.useDatagrams() {
		return nil
	}
	if err = d.broker.SchedulerNode().Listen(); err != nil {
		return err
	}
	parts.Add(func() error { return d.broker.SchedulerNode().Run(ctx) }, func(error) { cancel() })
	return nil
}

// maxReadyBytes is the length in bytes of the longest body of a readiness check, which has no use for one.
const maxReadyBytes = 4 << 10

// serveReadyPort tells the load balancer whether to send requests to this host, at an address of its own and for every path.
func (d *Daemon) serveReadyPort(w http.ResponseWriter, _ *http.Request) {
	if !d.isReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether the load balancer may send requests to this host: it is not stopping and has a routing configuration.
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
