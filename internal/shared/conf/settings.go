package conf

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Settings are a daemon's validated settings.
type Settings struct {
	name           string
	dataCentre     string
	callers        string
	peers          string
	admin          string
	control        []string
	dataFolder     string
	leaseTime      time.Duration
	maxHold        time.Duration
	maxHeaderBytes int
	maxBodyBytes   int
	maxParked      int
	memory         int
	descriptors    int
	processor      float64
	link           float64
	windows        bool
	coldOverrun    float64
	coldSlack      float64
	drainNotice    time.Duration
	drainBound     time.Duration
	logLevel       string
	logLayers      string
	certificate    string
	key            string
	authority      string
	ready          string
	upstreams      string
	selfForming    bool
	mayBootstrap   bool
	tolerate       int
	counted        bool
	heartbeat      time.Duration
	routing        string
	leaveTime      time.Duration
	retryShare     float64
	retryBase      float64
	retryWindow    time.Duration
	trusted        bool
}

// Sources of the routes of callers' requests.
const (
	// RoutingFiles routes by published service files.
	RoutingFiles = "files"
	// RoutingItems routes by configuration items, see package items.
	RoutingItems = "items"
)

// Name returns the host's name.
func (s *Settings) Name() string { return s.name }

// DataCentre returns the host's data centre.
func (s *Settings) DataCentre() string { return s.dataCentre }

// Ready returns the address that serves nothing but the readiness check for load balancers, or an empty string.
func (s *Settings) Ready() string { return s.ready }

// Upstreams returns the address at which a control host accepts the announcements of upstreams and the platform's operator
// calls, or an empty string.
func (s *Settings) Upstreams() string { return s.upstreams }

// Entry reports whether the host accepts callers' requests.
func (s *Settings) Entry() bool { return s.callers != "" }

// SelfForming reports whether the control hosts form their group by themselves, without an operator.
func (s *Settings) SelfForming() bool { return s.selfForming }

// Trusted reports whether the network between the hosts is configured as trusted, which allows plain text on all addresses.
func (s *Settings) Trusted() bool { return s.trusted }

// IsBootstrapHost reports whether this host bootstraps the control group if its data folder is empty. On the first start of
// the whole system, that is the control host whose address sorts first.
func (s *Settings) IsBootstrapHost() bool {
	return s.selfForming && s.mayBootstrap && slices.Min(s.control) == s.peers
}

// Voters returns the number of voters: a majority remains after the tolerated number of losses.
func (s *Settings) Voters() int { return 2*s.tolerate + 1 }

// Counted reports whether this control host is one of those of which at most the tolerated number is lost at once. A host
// that is not counted is a standby: it may be lost in addition, and gets no vote unless the leader is a standby too.
func (s *Settings) Counted() bool { return s.counted }

// Heartbeat returns the interval of the control leader's heartbeats.
func (s *Settings) Heartbeat() time.Duration { return s.heartbeat }

// Routing returns the source of routes, RoutingFiles or RoutingItems.
func (s *Settings) Routing() string { return s.routing }

// LeaveTime returns how long requests are still sent to an upstream after it announced that it leaves.
func (s *Settings) LeaveTime() time.Duration { return s.leaveTime }

// RetryShare returns the number of retries that each request of a service adds to its retry budget, over all entry hosts.
func (s *Settings) RetryShare() float64 { return s.retryShare }

// RetryBase returns the number of retries that a service has per window in addition to RetryShare, over all entry hosts.
func (s *Settings) RetryBase() float64 { return s.retryBase }

// RetryWindow returns the window in which retries are counted.
func (s *Settings) RetryWindow() time.Duration { return s.retryWindow }

// Callers returns the address that accepts callers' requests.
func (s *Settings) Callers() string { return s.callers }

// Peers returns the address that accepts calls of other daemons and of operators.
func (s *Settings) Peers() string { return s.peers }

// Admin returns the address of announcements, readiness, metrics and status.
func (s *Settings) Admin() string { return s.admin }

// Control returns the peer addresses of the control hosts.
func (s *Settings) Control() []string { return s.control }

// DataFolder returns the folder of the replicated state, or an empty string on a host without the control role.
func (s *Settings) DataFolder() string { return s.dataFolder }

// LeaseTime returns the duration of an upstream's or entry host's lease, counted from when its renewal was requested.
func (s *Settings) LeaseTime() time.Duration { return s.leaseTime }

// MaxHold returns the longest deadline of a request to an upstream that does not check fencing tokens.
func (s *Settings) MaxHold() time.Duration { return s.maxHold }

// MaxHeaderBytes returns the largest request header, in bytes.
func (s *Settings) MaxHeaderBytes() int { return s.maxHeaderBytes }

// MaxBodyBytes returns the largest request body, in bytes.
func (s *Settings) MaxBodyBytes() int { return s.maxBodyBytes }

// Memory returns the memory that the process may use, in bytes, or zero if the settings do not state it.
func (s *Settings) Memory() int64 { return int64(s.memory) << 20 }

// Descriptors returns the number of file descriptors that the process may use, or zero if the settings do not state it.
func (s *Settings) Descriptors() int { return s.descriptors }

// Processor returns the number of processor cores that the process may use, which may be a fraction.
func (s *Settings) Processor() float64 { return s.processor }

// Link returns the rate of the host's network link in bytes per second, or zero if the settings do not state it.
func (s *Settings) Link() float64 { return s.link * bytesPerMegabit }

// bytesPerMegabit converts a rate in Mbit/s to bytes per second.
const bytesPerMegabit = 1e6 / 8

// Windows reports whether windows limit the requests without a slot, and whether a reset means that an upstream is full.
func (s *Settings) Windows() bool { return s.windows }

// ColdOverrun returns the factor by which the requests that arrive at a cold upstream within one second may exceed its rate.
func (s *Settings) ColdOverrun() float64 { return s.coldOverrun }

// ColdSlack returns how many further requests may arrive at a cold upstream within one second.
func (s *Settings) ColdSlack() float64 { return s.coldSlack }

// MaxParked returns the maximum number of parked requests, which wait until their slice has an owner.
func (s *Settings) MaxParked() int { return s.maxParked }

// StopTimes returns the time limits of the daemon's shutdown.
func (s *Settings) StopTimes() StopTimes { return NewStopTimes(s.drainNotice, s.drainBound) }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// LogLayers returns the layers whose debug events are logged, separated by commas.
func (s *Settings) LogLayers() string { return s.logLayers }

// Certificate returns the certificate file, or an empty string if connections use plain text.
func (s *Settings) Certificate() string { return s.certificate }

// Key returns the private key file.
func (s *Settings) Key() string { return s.key }

// Authority returns the file of the certificate authority.
func (s *Settings) Authority() string { return s.authority }

// ReadSettings reads and validates a settings file.
func ReadSettings(file string) (s *Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithMessage(err, "read settings")
	}
	return ParseSettings(file, string(data))
}

// ParseSettings parses and validates the text of a settings file; the error lists every fault.
func ParseSettings(file, text string) (s *Settings, err error) {
	r := newReader(file, text)
	s = &Settings{}
	s.readHost(r)
	s.readLimits(r)
	s.readLog(r)
	s.readSecurity(r)
	s.readControl(r)
	s.readRetries(r)
	if err = r.finish(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) readHost(r *reader) {
	s.name = need(r, "host", "name", word())
	s.dataCentre = need(r, "host", "dataCentre", word())
	s.processor = read(r, "host", "processor", 1, numberBetween(0.01, 1024))
	s.link = read(r, "host", "link", 0, numberBetween(0.01, 1e6))
	s.dataFolder = read(r, "control", "dataFolder", "", text())
	if s.dataFolder == "" {
		s.callers = need(r, "listen", "callers", address())
	} else {
		s.callers = read(r, "listen", "callers", "", address())
	}
	s.peers = need(r, "listen", "peers", address())
	s.admin = need(r, "listen", "admin", address())
	s.ready = read(r, "listen", "ready", "", address())
	s.upstreams = read(r, "listen", "upstreams", "", address())
	s.control = need(r, "control", "addresses", addresses())
	s.leaseTime = read(r, "control", "leaseTime", time.Second, durationBetween(400*time.Millisecond, time.Minute))
	s.maxHold = read(r, "control", "maxHold", time.Second, durationBetween(100*time.Millisecond, time.Minute))
}

func (s *Settings) readControl(r *reader) {
	if port := read(r, "control", "port", 0, intBetween(1, 65535)); port > 0 {
		s.control = withPort(s.control, uint16(port))
	}
	s.selfForming = read(r, "control", "forms", "operators", oneOf("operators", "self")) == "self"
	s.mayBootstrap = read(r, "control", "found", false, yesNo())
	s.tolerate = read(r, "control", "tolerate", 1, intBetween(0, 4))
	s.counted = read(r, "control", "counted", true, yesNo())
	s.heartbeat = read(r, "control", "heartbeat", 40*time.Millisecond, durationBetween(10*time.Millisecond, time.Second))
	s.leaseTime = min(s.leaseTime, read(r, "control", "leaseLimit", time.Minute, durationBetween(400*time.Millisecond, time.Hour)))
}

// withPort returns the addresses with their port replaced.
func withPort(list []string, port uint16) (replaced []string) {
	for _, a := range list {
		if parsed, err := netip.ParseAddrPort(a); err == nil {
			replaced = append(replaced, netip.AddrPortFrom(parsed.Addr(), port).String())
		}
	}
	return replaced
}

func (s *Settings) readRetries(r *reader) {
	s.routing = read(r, "callers", "routing", RoutingFiles, oneOf(RoutingFiles, RoutingItems))
	s.leaveTime = read(r, "callers", "leaveTime", 2*time.Second, durationBetween(0, time.Minute))
	s.windows = read(r, "callers", "windows", false, yesNo())
	s.coldOverrun = read(r, "cold", "overrun", 1, numberBetween(1, 100))
	s.coldSlack = read(r, "cold", "slack", 0, numberBetween(0, 1e6))
	s.retryShare = read(r, "retries", "share", 0.1, numberBetween(0, 1))
	s.retryBase = read(r, "retries", "base", 20, numberBetween(0, 1e6))
	s.retryWindow = read(r, "retries", "window", 10*time.Second, durationBetween(time.Second, time.Hour))
}

func (s *Settings) readLimits(r *reader) {
	s.maxHeaderBytes = read(r, "limits", "maxHeaderBytes", 32<<10, intBetween(1<<10, 1<<20))
	s.maxBodyBytes = read(r, "limits", "maxBodyBytes", 4<<20, intBetween(1<<10, 1<<30))
	s.maxParked = read(r, "limits", "maxParked", 10000, intBetween(1, 1000000))
	s.memory = read(r, "limits", "memory", 0, intBetween(32, 1<<20))
	s.descriptors = read(r, "limits", "descriptors", 0, intBetween(256, 1<<24))
	s.drainNotice = read(r, "drain", "notice", 3*time.Second, durationBetween(0, 5*time.Minute))
	s.drainBound = read(r, "drain", "bound", 20*time.Second, durationBetween(time.Second, 10*time.Minute))
	if within := read(r, "drain", "within", 0, durationBetween(time.Second, 15*time.Minute)); within > 0 {
		s.drainNotice = min(s.drainNotice, time.Duration(noticeShare*float64(within)))
		s.drainBound = min(s.drainBound, time.Duration(drainShare*float64(within))-s.drainNotice)
	}
}

// Fractions of the total time of a shutdown: until the load balancer must have stopped sending callers, and until all
// requests must have finished.
const (
	noticeShare = 0.45
	drainShare  = 0.93
)

func (s *Settings) readLog(r *reader) {
	s.logLevel = read(r, "log", "level", "info", oneOf("debug", "info", "warn", "error"))
	s.logLayers = read(r, "log", "layers", "", text())
}

func (s *Settings) readSecurity(r *reader) {
	s.certificate = read(r, "tls", "certificate", "", text())
	s.key = read(r, "tls", "key", "", text())
	s.authority = read(r, "tls", "authority", "", text())
	set := 0
	for _, name := range []string{s.certificate, s.key, s.authority} {
		if name != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		r.fault(r.lines[place{section: "tls"}], "tls", "", "only some of the files", "certificate, key and authority together, or none")
	}
	s.trusted = read(r, "network", "trusted", false, yesNo())
	if set == 0 && !s.trusted {
		s.requireLoopback(r, "peers", s.peers)
	}
}
