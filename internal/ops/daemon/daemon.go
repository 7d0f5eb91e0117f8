package daemon

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/group"
	"ebonyrill.dev/ebonyrill/internal/control/lease"
	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/entry/agent"
	"ebonyrill.dev/ebonyrill/internal/entry/broker"
	"ebonyrill.dev/ebonyrill/internal/entry/link"
	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/entry/stats"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/memory"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Time limits of the daemon's HTTP servers.
const (
	headerTimeout = 5 * time.Second // to read a request's header
	idleTimeout   = 2 * time.Minute // of a connection without a request
)

// gcPercent is the garbage collector's target percentage (see [debug.SetGCPercent]). It is below Go's default of 100, as small
// hosts can spare processor time more easily than memory.
const gcPercent = 50

// headerLimitFactor times the settings' header limit is the limit of the HTTP servers. Headers between the two limits are
// rejected by the handlers, whose response carries an outcome; net/http's own response does not.
const headerLimitFactor = 4

// Daemon runs the roles of one host in one process: entry host, control host or both. Fields of a role that the host does not
// have are nil.
type Daemon struct {
	settings       *conf.Settings
	log            *events.Log
	security       *wire.Security
	group          *group.Group
	table          *route.Table
	stats          *stats.Recorder
	agent          *agent.Agent
	relay          *relay.Handler
	registry       *prometheus.Registry
	client         *wire.Client
	controlHosts   *wire.Hosts
	gate           *memory.Gate
	settingsFile   string
	platform       Platform
	broker         *broker.Broker
	link           *link.Link
	brokerServer   *serve.Server
	platformServer *http.Server
	readyServer    *http.Server
	relayServer    *http.Server
	peerServer     *http.Server
	adminServer    *http.Server
	stopping       atomic.Bool
	inFlight       atomic.Int64
}

// New returns a daemon that does not listen yet. The settings are read again from settingsFile when it changes. The platform may
// be nil on a host that uses only the project's own protocols.
func New(settings *conf.Settings, settingsFile string, platform Platform) (d *Daemon, err error) {
	defer func() { err = errors.WithMessage(err, "start daemon") }()
	d = &Daemon{settings: settings, settingsFile: settingsFile, platform: platform, registry: prometheus.NewRegistry()}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if d.log, err = events.New(settings.LogLevel(), settings.LogLayers(), settings.Name()); err != nil {
		return nil, err
	}
	d.openGate()
	if err = d.loadCertificates(); err != nil {
		return nil, err
	}
	d.client = wire.NewClient(d.security)
	if err = d.openGroup(); err != nil {
		return nil, err
	}
	if d.settings.Entry() {
		d.openEntry()
	}
	d.createServers()
	return d, nil
}

// loadCertificates prepares mutual TLS. Without a certificate in the settings the host uses plain text and logs that.
func (d *Daemon) loadCertificates() (err error) {
	if d.settings.Certificate() == "" {
		d.log.Write(events.PlainText)
		return nil
	}
	onRejected := func(err error) { d.log.Write(events.PeerRejected, events.Cause(err)) }
	d.security, err = wire.NewSecurity(d.settings.Certificate(), d.settings.Key(), d.settings.Authority(), onRejected)
	return err
}

// openGroup opens this host's member of the control group if the settings have a data folder.
func (d *Daemon) openGroup() (err error) {
	if d.settings.DataFolder() == "" {
		return nil
	}
	d.group, err = group.Open(group.Options{Name: d.settings.Name(), Address: d.settings.Peers(),
		DataCentre: d.settings.DataCentre(), Folder: d.settings.DataFolder(), Timing: raft.TimingFor(d.settings.Heartbeat()),
		Client: d.client, Formation: d.formation(), Datagrams: d.useDatagrams(),
		LeaseTiming: lease.NewTiming(d.settings.LeaseTime(), d.settings.MaxHold()), Log: d.log})
	return err
}

// openEntry creates the parts of an entry host.
func (d *Daemon) openEntry() {
	d.table = route.NewTable(d.settings.Name(), d.settings.MaxParked())
	d.stats = stats.New(d.registry)
	host := table.EntryHost{Name: d.settings.Name(), Incarnation: uint64(time.Now().UnixNano()),
		Address: d.settings.Peers(), DataCentre: d.settings.DataCentre(), Processor: d.settings.Processor(), Link: d.settings.Link()}
	d.controlHosts = wire.NewHosts(d.client, d.settings.Control())
	d.agent = agent.New(agent.Options{Host: host, Hosts: d.controlHosts,
		Lease: d.settings.LeaseTime(), ReportPeriod: d.reportPeriod(), Table: d.table, Stats: d.stats, Log: d.log})
	d.relay = relay.NewHandler(relay.Options{Name: d.settings.Name(), Table: d.table, Scheme: d.client.Scheme(),
		Security: d.security, MaxBody: int64(d.settings.MaxBodyBytes()), MaxHeader: d.settings.MaxHeaderBytes(), MaxHold: d.settings.MaxHold(),
		LeaseEnd: d.agent.LeaseEnd, Observer: d.stats, Log: d.log})
	if d.settings.Routing() == conf.RoutingItems && d.platform != nil {
		d.openBroker()
	}
}

// createServers creates the HTTP servers that the settings and roles require.
func (d *Daemon) createServers() {
	maxHeader := headerLimitFactor * d.settings.MaxHeaderBytes()
	server := func(h http.Handler, describe func(*http.Request) memory.BodyUse) *http.Server {
		s := &http.Server{Handler: limitBodyTime(h, bodyTimeout), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: d.serverLog()}
		memory.Serve(s, describe)
		return s
	}
	d.peerServer, d.adminServer = server(d.peerHandler(), fromPeers), server(d.adminHandler(), decoded(maxAnnounceBytes))
	if d.settings.Entry() && d.broker == nil {
		d.relayServer = server(d.countInFlight(http.HandlerFunc(d.relay.ServeHTTP)), forwarded)
	}
	if d.settings.Ready() != "" {
		d.readyServer = server(http.HandlerFunc(d.serveReadyPort), decoded(maxReadyBytes))
	}
	if d.settings.Upstreams() != "" && d.group != nil && d.platform != nil {
		d.platformServer = server(d.platform.Control(d.group, d.settings, d.log), decoded(d.platform.MaxBodyBytes()))
	}
	if d.security != nil {
		d.peerServer.TLSConfig = d.security.ServerConfig()
	}
}

// countInFlight returns a handler that counts requests in flight, and that closes connections after their response while the
// daemon is stopping.
func (d *Daemon) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Run listens and serves until a signal stops the daemon or one of its parts fails, and then stops all parts.
func (d *Daemon) Run() (err error) {
	defer func() { err = errors.WithMessage(err, "run daemon") }()
	defer d.log.Sync()
	var parts run.Group
	debug.SetGCPercent(gcPercent)
	d.log.Write(events.Starting, zap.Int("pid", os.Getpid()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.group != nil {
		parts.Add(d.group.Run, func(error) { d.group.Stop() })
		parts.Add(func() error { return d.group.RunFormation(ctx) }, func(error) { cancel() })
	}
	if d.agent != nil {
		parts.Add(func() error { return d.agent.RunRenewals(ctx) }, func(error) { cancel() })
		parts.Add(func() error { return d.agent.RunWatch(ctx) }, func(error) { cancel() })
	}
	if d.broker != nil {
		if err = d.addBroker(ctx, cancel, &parts); err != nil {
			return err
		}
	}
	for _, e := range []endpoint{{d.relayServer, d.settings.Callers(), false, memory.CallerUse}, {d.peerServer, d.settings.Peers(), d.security != nil, memory.PeerUse},
		{d.adminServer, d.settings.Admin(), false, memory.OtherUse}, {d.readyServer, d.settings.Ready(), false, memory.OtherUse},
		{d.platformServer, d.settings.Upstreams(), false, memory.PlatformUse}} {
		if e.server == nil {
			continue
		}
		if err = e.addTo(d.gate, &parts); err != nil {
			return err
		}
	}
	parts.Add(func() error { return d.watchSettings(ctx) }, func(error) { cancel() })
	d.addSignals(&parts)
	d.log.Write(events.Ready, zap.String("callers", d.settings.Callers()))
	if err = parts.Run(); err != nil {
		d.log.Write(events.Failed, events.Cause(err))
		return err
	}
	d.log.Write(events.Stopped)
	return nil
}

// endpoint is an HTTP server with its address and what its connections are used for.
type endpoint struct {
	server  *http.Server
	address string
	secure  bool
	use     memory.Use
}

// addTo listens at the address and adds the server to the parts.
func (e endpoint) addTo(g *memory.Gate, parts *run.Group) (err error) {
	listener, err := g.Listen(e.address, e.use)
	if err != nil {
		return err
	}
	addServer(parts, func() (err error) {
		if e.secure {
			err = e.server.ServeTLS(listener, "", "")
		} else {
			err = e.server.Serve(listener)
		}
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func() { _ = e.server.Close() })
	return nil
}

// addServer adds a server to the parts. A part that returns stops all others, so a server that was shut down gracefully does
// not return until the other parts stop: otherwise it would abort requests that the graceful stop still waits for.
func addServer(parts *run.Group, serve func() error, end func()) {
	quit := make(chan struct{})
	parts.Add(func() error {
		err := serve()
		if err == nil {
			<-quit
		}
		return err
	}, func(error) {
		close(quit)
		end()
	})
}

// addSignals adds a part that stops the daemon gracefully on SIGTERM or SIGINT, and immediately on a second signal.
func (d *Daemon) addSignals(parts *run.Group) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	quit := make(chan struct{})
	parts.Add(func() error {
		select {
		case <-signals:
			d.drain(signals)
		case <-quit:
		}
		return nil
	}, func(error) { close(quit) })
}
