package conf

import (
	"os"
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
}

// Name returns the host's name.
func (s *Settings) Name() string { return s.name }

// DataCentre returns the data centre the host stands in.
func (s *Settings) DataCentre() string { return s.dataCentre }

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

// DrainNotice returns how long a stopping daemon keeps serving after it stopped being ready.
func (s *Settings) DrainNotice() time.Duration { return s.drainNotice }

// DrainBound returns how long a stopping daemon lets requests finish.
func (s *Settings) DrainBound() time.Duration { return s.drainBound }

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
	if err = r.finish(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) readHost(r *reader) {
	s.name = need(r, "host", "name", word())
	s.dataCentre = need(r, "host", "dataCentre", word())
	s.callers = need(r, "listen", "callers", address())
	s.peers = need(r, "listen", "peers", address())
	s.admin = need(r, "listen", "admin", address())
	s.control = need(r, "control", "addresses", addresses())
	s.dataFolder = read(r, "control", "dataFolder", "", text())
	s.leaseTime = read(r, "control", "leaseTime", time.Second, durationBetween(400*time.Millisecond, time.Minute))
	s.maxHold = read(r, "control", "maxHold", time.Second, durationBetween(100*time.Millisecond, time.Minute))
}

func (s *Settings) readLimits(r *reader) {
	s.maxHeaderBytes = read(r, "limits", "maxHeaderBytes", 32<<10, intBetween(1<<10, 1<<20))
	s.maxBodyBytes = read(r, "limits", "maxBodyBytes", 4<<20, intBetween(1<<10, 1<<30))
	s.maxParked = read(r, "limits", "maxParked", 10000, intBetween(1, 1000000))
	s.drainNotice = read(r, "drain", "notice", 3*time.Second, durationBetween(0, 5*time.Minute))
	s.drainBound = read(r, "drain", "bound", 20*time.Second, durationBetween(time.Second, 10*time.Minute))
}

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
	if set == 0 {
		s.demandLoopback(r, "peers", s.peers)
	}
}
