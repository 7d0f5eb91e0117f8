package daemon

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ebonyrill.dev/ebonyrill/internal/entry/broker"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/shared/memory"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Limits of the admin endpoints.
const (
	announceTimeout  = 900 * time.Millisecond // for control's response to an announcement
	maxAnnounceBytes = 64 << 10               // body of an announcement
)

// adminHandler returns the handler of the admin address: announcements and status on entry hosts; readiness, liveness and
// metrics on all hosts.
func (d *Daemon) adminHandler() http.Handler {
	d.registerGauges()
	app := iris.New()
	app.Logger().SetLevel("disable")
	if d.settings.Entry() {
		app.Post("/v1/announce", d.serveAnnounce)
		app.Get("/v1/status", d.serveStatus)
	}
	app.Get("/readyz", d.serveReady)
	app.Get("/livez", func(c iris.Context) { _, _ = c.WriteString("alive\n") })
	app.Get("/metrics", iris.FromStd(memory.Buffered(promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))))
	if err := app.Build(); err != nil {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		})
	}
	return app
}

// registerGauges registers the metrics that are read from the daemon's parts.
func (d *Daemon) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		d.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	counter := func(name, help string, value func() int64) {
		d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value()) }))
	}
	counter("ebonyrill_log_dropped_total", "Log lines that found no room because nobody read them.", d.log.Dropped)
	d.registerMemory(gauge, counter)
	if !d.settings.Entry() {
		return
	}
	counter("ebonyrill_control_sent_bytes_total", "Bytes sent in calls to control hosts.", d.client.Traffic().Sent)
	counter("ebonyrill_control_received_bytes_total", "Bytes received in answers of control hosts.", d.client.Traffic().Received)
	gauge("ebonyrill_table_version", "Version of the table in force.", func() float64 { return float64(d.table.View().Version()) })
	gauge("ebonyrill_config_version", "Version of the configuration in force.", func() float64 {
		return float64(d.table.View().Config().Version)
	})
	gauge("ebonyrill_data_centres_out_of_service", "Data centres that operators took out of service.", func() float64 {
		return float64(len(d.table.View().Evacuations().ListOut()))
	})
	if d.broker != nil {
		d.registerScheduling(gauge, counter)
	}
	gauge("ebonyrill_parked_requests", "Requests that wait for an owner.", func() float64 { return float64(d.table.Parked()) })
	gauge("ebonyrill_waiting_requests", "Requests that wait for a slot of an upstream.", func() float64 {
		_, waiting := d.relay.Load()
		return float64(waiting)
	})
	gauge("ebonyrill_busy_slots", "Slots of upstreams in use by this host.", func() float64 {
		busy, _ := d.relay.Load()
		return float64(busy)
	})
}

// registerScheduling registers the metrics of slot scheduling and of connections to upstreams and from callers.
func (d *Daemon) registerScheduling(gauge func(name, help string, value func() float64), counter func(name, help string, value func() int64)) {
	gauge("ebonyrill_dealt_slots", "Slots of upstreams that this host has dealt and that are in use.", func() float64 {
		busy, _ := d.broker.SchedulerNode().Load()
		return float64(busy)
	})
	gauge("ebonyrill_dealt_waiting", "Requests that wait for a slot that this host deals.", func() float64 {
		_, waiting := d.broker.SchedulerNode().Load()
		return float64(waiting)
	})
	for priority := range sched.EvictedLevels {
		d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "ebonyrill_dealt_evicted_total",
			Help:        "Waiting requests that this host's schedulers rejected because too little time was left, by priority; 3 counts lower ones too.",
			ConstLabels: prometheus.Labels{"priority": strconv.Itoa(priority)}}, func() float64 { return float64(d.broker.SchedulerNode().Evicted(priority)) }))
	}
	gauge("ebonyrill_upstream_connections", "Connections to upstreams that are open or being opened.", func() float64 {
		return float64(d.broker.Pool().Open())
	})
	gauge("ebonyrill_upstreams_unwilling", "Upstreams that leave, or have asked this host for a pause that is not over.", func() float64 {
		return float64(len(d.broker.Unwilling()))
	})
	counter("ebonyrill_dealing_datagrams_total", "Datagrams sent to other entry hosts for slots.", func() int64 {
		datagrams, _, _ := d.broker.SchedulerNode().Traffic()
		return datagrams
	})
	counter("ebonyrill_dealing_bytes_total", "Bytes of datagrams sent to other entry hosts for slots.", func() int64 {
		_, bytes, _ := d.broker.SchedulerNode().Traffic()
		return bytes
	})
	counter("ebonyrill_dealing_resent_total", "Asks for a slot that were sent again as no reply came.", func() int64 {
		_, _, resent := d.broker.SchedulerNode().Traffic()
		return resent
	})
	counter("ebonyrill_cold_permits_total", "Permits to send a request to a cold upstream that this host has granted.", func() int64 {
		granted, _ := d.broker.SchedulerNode().Permits()
		return granted
	})
	counter("ebonyrill_cold_waits_total", "Requests that had to wait for such a permit of this host.", func() int64 {
		_, waited := d.broker.SchedulerNode().Permits()
		return waited
	})
	counter("ebonyrill_upstream_connections_total", "Connections opened to upstreams.", func() int64 {
		dials, _ := d.broker.Pool().Counts()
		return dials
	})
	counter("ebonyrill_upstream_reuses_total", "Requests sent on a connection that carried others before.", func() int64 {
		_, reuses := d.broker.Pool().Counts()
		return reuses
	})
	if d.link != nil {
		d.registerLink(gauge)
	}
	gauge("ebonyrill_caller_connections", "Open connections of callers.", func() float64 { return float64(d.brokerServer.Count()) })
}

// serveAnnounce forwards an upstream's announcement to the control leader and returns the leader's response.
func (d *Daemon) serveAnnounce(c iris.Context) {
	c.SetMaxRequestBodySize(maxAnnounceBytes)
	var a table.Announcement
	if err := c.ReadJSON(&a); err != nil {
		c.StopWithJSON(http.StatusBadRequest, struct {
			Error string `json:"error"`
		}{"the announcement is not valid JSON: " + err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), announceTimeout)
	defer cancel()
	resp, err := d.agent.Announce(ctx, a)
	if err != nil {
		c.StopWithJSON(http.StatusServiceUnavailable, struct {
			Error string `json:"error"`
		}{"control did not answer: " + err.Error()})
		return
	}
	_ = c.JSON(resp)
}

// serveReady tells the load balancer whether to send requests to this host: it responds with status 200 or 503.
func (d *Daemon) serveReady(c iris.Context) {
	if !d.isReady() {
		c.StopWithText(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	_, _ = c.WriteString("ready\n")
}

// serveStatus responds with the host's state as JSON.
func (d *Daemon) serveStatus(c iris.Context) {
	view := d.table.View()
	busy, waiting := d.relay.Load()
	var unwilling []broker.UnwillingUpstream
	if d.broker != nil {
		unwilling = d.broker.Unwilling()
	}
	_ = c.JSON(struct {
		Host          string                     `json:"host"`
		DataCentre    string                     `json:"dataCentre"`
		TableVersion  uint64                     `json:"tableVersion"`
		ConfigVersion uint64                     `json:"configVersion"`
		Lease         bool                       `json:"lease"`
		Stopping      bool                       `json:"stopping"`
		Parked        int64                      `json:"parked"`
		Busy          int                        `json:"busy"`
		Waiting       int                        `json:"waiting"`
		Unwilling     []broker.UnwillingUpstream `json:"unwilling,omitempty"`
	}{d.settings.Name(), d.settings.DataCentre(), view.Version(), view.Config().Version, d.agent.HasLease(),
		d.stopping.Load(), d.table.Parked(), busy, waiting, unwilling})
}

// registerLink registers the metrics of the host's network link.
func (d *Daemon) registerLink(gauge func(name, help string, value func() float64)) {
	gauge("ebonyrill_link_sent_utilization", "Share of the link's rate that callers' requests and responses use to send.", func() float64 {
		sent, _, _ := d.link.Load()
		return sent
	})
	gauge("ebonyrill_link_received_utilization", "Share of the link's rate that callers' requests and responses use to receive.", func() float64 {
		_, received, _ := d.link.Load()
		return received
	})
	gauge("ebonyrill_link_waiting_downloads", "Requests for large responses that wait for the link.", func() float64 {
		_, _, waiting := d.link.Load()
		return float64(waiting)
	})
}
