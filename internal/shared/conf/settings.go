package conf

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Settings are a daemon's checked settings.
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
	drainNotice    time.Duration
	drainBound     time.Duration
	logLevel       string
	logLayers      string
	certificate    string
	key            string
	authority      string
	ready          string
	upstreams      string
	forms          bool
	found          bool
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

// Ways in which callers' requests are routed.
const (
	// RoutingFiles routes by the service files that were published.
	RoutingFiles = "files"
	// RoutingItems routes by configuration items.
	RoutingItems = "items"
)

// Name returns the host's name.
func (s *Settings) Name() string { return s.name }

// DataCentre returns the data centre the host stands in.
func (s *Settings) DataCentre() string { return s.dataCentre }

// Ready returns the address that tells the balancer alone whether to send callers here, or an empty text.
func (s *Settings) Ready() string { return s.ready }

// Upstreams returns the address at which a control host takes announcements and operators' calls of a platform, or an empty
// text.
func (s *Settings) Upstreams() string { return s.upstreams }

// Entry reports whether the host takes callers' requests.
func (s *Settings) Entry() bool { return s.callers != "" }

// SelfForming reports whether the control group forms itself.
func (s *Settings) SelfForming() bool { return s.forms }

// Trusted reports whether the network between the hosts is said to be trusted.
func (s *Settings) Trusted() bool { return s.trusted }

// IsBootstrapHost reports whether this host starts the control group if its folder is empty: on the first start of the whole system,
// the control host whose address sorts first.
func (s *Settings) IsBootstrapHost() bool {
	return s.forms && s.found && slices.Min(s.control) == s.peers
}

// Voters returns how many control hosts vote, so that the tolerated losses leave a majority.
func (s *Settings) Voters() int { return 2*s.tolerate + 1 }

// Counted reports whether this control host is among those of which only the tolerated number is lost at once.
func (s *Settings) Counted() bool { return s.counted }

// Heartbeat returns how often the control leader makes itself heard.
func (s *Settings) Heartbeat() time.Duration { return s.heartbeat }

// Routing returns how callers' requests are routed.
func (s *Settings) Routing() string { return s.routing }

// LeaveTime returns how long an upstream is sent requests after it said that it leaves.
func (s *Settings) LeaveTime() time.Duration { return s.leaveTime }

// RetryShare returns how many tries beyond the first each request of a service allows, over all entry hosts.
func (s *Settings) RetryShare() float64 { return s.retryShare }

// RetryBase returns how many tries beyond the first a service has in each window besides, over all entry hosts.
func (s *Settings) RetryBase() float64 { return s.retryBase }

// RetryWindow returns the window in which tries beyond the first are counted.
func (s *Settings) RetryWindow() time.Duration { return s.retryWindow }

// Callers returns the address that takes callers' requests.
func (s *Settings) Callers() string { return s.callers }

// Peers returns the address that takes calls of other daemons and of operators.
func (s *Settings) Peers() string { return s.peers }

// Admin returns the address of announcements, readiness, metrics and status.
func (s *Settings) Admin() string { return s.admin }

// Control returns the peer addresses of the control hosts.
func (s *Settings) Control() []string { return s.control }

// DataFolder returns the folder of the replicated state, or an empty text on a host without the control role.
func (s *Settings) DataFolder() string { return s.dataFolder }

// LeaseTime returns how long a grant or an entry lease lasts after its renewal was asked for.
func (s *Settings) LeaseTime() time.Duration { return s.leaseTime }

// MaxHold returns the longest deadline of a request to an upstream that does not check fences.
func (s *Settings) MaxHold() time.Duration { return s.maxHold }

// MaxHeaderBytes returns the largest request header, in bytes.
func (s *Settings) MaxHeaderBytes() int { return s.maxHeaderBytes }

// MaxBodyBytes returns the largest request body, in bytes.
func (s *Settings) MaxBodyBytes() int { return s.maxBodyBytes }

// MaxParked returns how many requests may wait for a slice to get an owner.
func (s *Settings) MaxParked() int { return s.maxParked }

// StopTimes returns the bounds of the daemon's stop.
func (s *Settings) StopTimes() StopTimes { return NewStopTimes(s.drainNotice, s.drainBound) }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// LogLayers returns the layers that log details, separated by commas.
func (s *Settings) LogLayers() string { return s.logLayers }

// Certificate returns the certificate file, or an empty text for plain text on loopback.
func (s *Settings) Certificate() string { return s.certificate }

// Key returns the private key file.
func (s *Settings) Key() string { return s.key }

// Authority returns the file of the certificate authority.
func (s *Settings) Authority() string { return s.authority }

// ReadSettings reads and checks a settings file.
func ReadSettings(file string) (s *Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithMessage(err, "read settings")
	}
	return ParseSettings(file, string(data))
}

// ParseSettings checks the text of a settings file; the error lists every fault.
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
	s.forms = read(r, "control", "forms", "operators", oneOf("operators", "self")) == "self"
	s.found = read(r, "control", "found", false, yesNo())
	s.tolerate = read(r, "control", "tolerate", 1, intBetween(0, 4))
	s.counted = read(r, "control", "counted", true, yesNo())
	s.heartbeat = read(r, "control", "heartbeat", 40*time.Millisecond, durationBetween(10*time.Millisecond, time.Second))
	s.leaseTime = min(s.leaseTime, read(r, "control", "leaseLimit", time.Minute, durationBetween(400*time.Millisecond, time.Hour)))
}

// withPort returns the addresses with another port.
func withPort(list []string, port uint16) (moved []string) {
	for _, a := range list {
		if parsed, err := netip.ParseAddrPort(a); err == nil {
			moved = append(moved, netip.AddrPortFrom(parsed.Addr(), port).String())
		}
	}
	return moved
}

func (s *Settings) readRetries(r *reader) {
	s.routing = read(r, "callers", "routing", RoutingFiles, oneOf(RoutingFiles, RoutingItems))
	s.leaveTime = read(r, "callers", "leaveTime", 2*time.Second, durationBetween(0, time.Minute))
	s.retryShare = read(r, "retries", "share", 0.1, numberBetween(0, 1))
	s.retryBase = read(r, "retries", "base", 20, numberBetween(0, 1e6))
	s.retryWindow = read(r, "retries", "window", 10*time.Second, durationBetween(time.Second, time.Hour))
}

func (s *Settings) readLimits(r *reader) {
	s.maxHeaderBytes = read(r, "limits", "maxHeaderBytes", 32<<10, intBetween(1<<10, 1<<20))
	s.maxBodyBytes = read(r, "limits", "maxBodyBytes", 4<<20, intBetween(1<<10, 1<<30))
	s.maxParked = read(r, "limits", "maxParked", 10000, intBetween(1, 1000000))
	s.drainNotice = read(r, "drain", "notice", 3*time.Second, durationBetween(0, 5*time.Minute))
	s.drainBound = read(r, "drain", "bound", 20*time.Second, durationBetween(time.Second, 10*time.Minute))
	if within := read(r, "drain", "within", 0, durationBetween(time.Second, 15*time.Minute)); within > 0 {
		s.drainNotice = min(s.drainNotice, time.Duration(noticeShare*float64(within)))
		s.drainBound = min(s.drainBound, time.Duration(drainShare*float64(within))-s.drainNotice)
	}
}

// Parts of the time that a whole stop may take: until the balancer has moved away, and until requests must have finished.
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
		s.demandLoopback(r, "peers", s.peers)
	}
}
