package daemon

import (
	"context"
	"net"
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
	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/entry/stats"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Times of the daemon's servers.
const (
	headerTimeout = 5 * time.Second
	callerIdle    = 2 * time.Minute
)

// gcPercent is how far the heap may grow between collections, in percent of what is in use; small hosts have more processor time
// to spare than memory.
const gcPercent = 50

// headerSlack is how many times the header limit the server takes in, so that the refusal can carry an outcome.
const headerSlack = 4

// Daemon is one process of the system.
type Daemon struct {
	settings *conf.Settings
	log      *events.Log
	security *wire.Security
	group    *group.Group
	table    *route.Table
	tally    *stats.Recorder
	follower *agent.Agent
	relay    *relay.Handler
	registry *prometheus.Registry
	client   *wire.Client
	hosts    *wire.Hosts
	file     string
	platform Platform
	broker   *broker.Broker
	front    *serve.Server
	outside  *http.Server
	ready    *http.Server
	callers  *http.Server
	peers    *http.Server
	admin    *http.Server
	stopping atomic.Bool
	flights  atomic.Int64
}

// New puts a daemon together; nothing listens yet.
// The platform may be nil on a host that speaks only the project's own protocols; file is where the settings were read from.
func New(settings *conf.Settings, file string, platform Platform) (d *Daemon, err error) {
	defer func() { err = errors.WithMessage(err, "start daemon") }()
	d = &Daemon{settings: settings, file: file, platform: platform, registry: prometheus.NewRegistry()}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if d.log, err = events.New(settings.LogLevel(), settings.LogLayers(), settings.Name()); err != nil {
		return nil, err
	}
	if err = d.secure(); err != nil {
		return nil, err
	}
	d.client = wire.NewClient(d.security)
	if err = d.openGroup(); err != nil {
		return nil, err
	}
	if d.settings.Entry() {
		d.openEntry()
	}
	d.servers()
	return d, nil
}

func (d *Daemon) secure() (err error) {
	if d.settings.Certificate() == "" {
		d.log.Write(events.PlainText)
		return nil
	}
	refused := func(err error) { d.log.Write(events.PeerRejected, events.Cause(err)) }
	d.security, err = wire.NewSecurity(d.settings.Certificate(), d.settings.Key(), d.settings.Authority(), refused)
	return err
}

func (d *Daemon) openGroup() (err error) {
	if d.settings.DataFolder() == "" {
		return nil
	}
	d.group, err = group.Open(group.Options{Name: d.settings.Name(), Address: d.settings.Peers(),
		DataCentre: d.settings.DataCentre(), Folder: d.settings.DataFolder(), Timing: raft.TimingFor(d.settings.Heartbeat()),
		Client: d.client, Formation: d.forming(), Datagrams: d.datagrams(),
		LeaseTiming: lease.NewTiming(d.settings.LeaseTime(), d.settings.MaxHold()), Log: d.log})
	return err
}

func (d *Daemon) openEntry() {
	d.table = route.NewTable(d.settings.Name(), d.settings.MaxParked())
	d.tally = stats.New(d.registry)
	host := table.EntryHost{Name: d.settings.Name(), Incarnation: uint64(time.Now().UnixNano()),
		Address: d.settings.Peers(), DataCentre: d.settings.DataCentre()}
	d.hosts = wire.NewHosts(d.client, d.settings.Control())
	d.follower = agent.New(agent.Options{Host: host, Hosts: d.hosts,
		Lease: d.settings.LeaseTime(), ReportPeriod: d.reportPeriod(), Table: d.table, Stats: d.tally, Log: d.log})
	d.relay = relay.NewHandler(relay.Options{Name: d.settings.Name(), Table: d.table, Scheme: d.client.Scheme(),
		Security: d.security, MaxBody: int64(d.settings.MaxBodyBytes()), MaxHeader: d.settings.MaxHeaderBytes(), MaxHold: d.settings.MaxHold(),
		LeaseEnd: d.follower.LeaseEnd, Observer: d.tally, Log: d.log})
	if d.settings.Routing() == conf.RoutingItems && d.platform != nil {
		d.openBroker()
	}
}

func (d *Daemon) servers() {
	maxHeader := headerSlack * d.settings.MaxHeaderBytes()
	server := func(h http.Handler) *http.Server {
		return &http.Server{Handler: timedBodies(h, bodyTimeout), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeader, ErrorLog: d.serverLog()}
	}
	d.peers, d.admin = server(d.peerHandler()), server(d.adminHandler())
	if d.settings.Entry() && d.broker == nil {
		d.callers = server(d.counted(http.HandlerFunc(d.relay.ServeHTTP)))
	}
	if d.settings.Ready() != "" {
		d.ready = server(http.HandlerFunc(d.serveReadyAlone))
	}
	if d.settings.Upstreams() != "" && d.group != nil && d.platform != nil {
		d.outside = server(d.platform.Control(d.group, d.settings, d.log))
	}
	if d.security != nil {
		d.peers.TLSConfig = d.security.ServerConfig()
	}
}

// counted notes requests in flight, and asks callers to leave their connections once the daemon is stopping.
func (d *Daemon) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.flights.Add(1)
		defer d.flights.Add(-1)
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Run listens and serves until a signal ends it or a part fails; all parts stop together.
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
	if d.follower != nil {
		parts.Add(func() error { return d.follower.RunRenewals(ctx) }, func(error) { cancel() })
		parts.Add(func() error { return d.follower.RunWatch(ctx) }, func(error) { cancel() })
	}
	if d.broker != nil {
		if err = d.addBroker(ctx, cancel, &parts); err != nil {
			return err
		}
	}
	for _, s := range []served{{d.callers, d.settings.Callers(), false}, {d.peers, d.settings.Peers(), d.security != nil},
		{d.admin, d.settings.Admin(), false}, {d.ready, d.settings.Ready(), false}, {d.outside, d.settings.Upstreams(), false}} {
		if s.server == nil {
			continue
		}
		if err = s.addTo(&parts); err != nil {
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

// served is one server with its address.
type served struct {
	server  *http.Server
	address string
	secure  bool
}

func (s served) addTo(parts *run.Group) (err error) {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	addServer(parts, func() (err error) {
		if s.secure {
			err = s.server.ServeTLS(listener, "", "")
		} else {
			err = s.server.Serve(listener)
		}
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func() { _ = s.server.Close() })
	return nil
}

// addServer adds a server to the parts that stop together. One that was shut down in order stays a part until the others
// stop: its end must not cut what the stop still waits for.
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

// addSignals stops the daemon in order on SIGTERM and SIGINT; a second signal stops it at once.
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
