package place

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Rules by which an upstream counts as failing.
const (
	failingShare      = 0.5
	failingRequests   = 20
	failingFor        = 1500 * time.Millisecond
	sightMemory       = 10 * time.Second
	corroborationTime = 2 * time.Minute
	hostSuspectShare  = 0.5
	avoidTime         = 30 * time.Second
	maxStrikes        = 5
	strikeMemory      = 30 * time.Minute
)

// sightName names what one entry host sees of one upstream.
type sightName struct {
	number uint32
	host   string
}

// sight is what one entry host saw of one upstream of late.
type sight struct {
	answered     float64
	failed       float64
	updatedAt    time.Duration
	failingSince time.Duration
	failing      bool
}

// lasting reports whether most requests have failed for a while.
func (s *sight) lasting() bool { return s.failing && s.updatedAt-s.failingSince >= failingFor }

// current reports whether the host has seen the upstream of late.
func (s *sight) current(now time.Duration) bool { return now-s.updatedAt <= sightMemory }

// avoidance is how long an upstream is avoided, and how often it was.
type avoidance struct {
	strikes int
	until   time.Duration
}

// Health judges upstreams by what entry hosts saw of them. An upstream's own report never decides, and one entry host's
// is not enough: where it sees most requests to an upstream fail, another host is made the upstream's home, and only if
// that one sees the same is the upstream at fault.
type Health struct {
	sights     map[sightName]*sight
	avoidances map[uint32]*avoidance
}

// NewHealth returns a judge without sights.
func NewHealth() *Health {
	return &Health{sights: map[sightName]*sight{}, avoidances: map[uint32]*avoidance{}}
}

// Add takes in what one entry host saw since its last report.
func (h *Health) Add(now time.Duration, host string, seen table.UpstreamStats) {
	name := sightName{number: seen.Number, host: host}
	s := h.sights[name]
	if s == nil || !s.current(now) {
		s = &sight{}
		h.sights[name] = s
	}
	s.answered = s.answered/2 + float64(seen.Answered)
	s.failed = s.failed/2 + float64(seen.Failed)
	s.updatedAt = now
	bad := s.failed >= failingRequests && s.failed >= failingShare*(s.failed+s.answered)
	if bad && !s.failing {
		s.failingSince = now
	}
	s.failing = bad
}

// Suspected reports whether the host has seen most requests to the upstream fail for a while, with no other host's word
// to the same effect; another host should become the upstream's home. An upstream that is avoided needs none.
func (h *Health) Suspected(now time.Duration, number uint32, host string) bool {
	if h.avoided(now, number) {
		return false
	}
	s := h.sights[sightName{number: number, host: host}]
	return s != nil && s.current(now) && s.lasting() && !h.corroborated(now, number, host)
}

// corroborated reports whether another host than the one named saw the upstream fail not long ago.
func (h *Health) corroborated(now time.Duration, number uint32, except string) bool {
	for name, s := range h.sights {
		if name.number == number && name.host != except && s.lasting() && now-s.updatedAt <= corroborationTime {
			return true
		}
	}
	return false
}

// Failing reports whether the upstream has failed most requests for a while as its home sees it, unless that host is
// suspect, and as another host saw it before, unless there is no other. It stays avoided for a time that doubles with
// each relapse.
func (h *Health) Failing(now time.Duration, number uint32, home string, alone bool) bool {
	if h.avoided(now, number) {
		return true
	}
	s := h.sights[sightName{number: number, host: home}]
	if s == nil || !s.current(now) || !s.lasting() || h.suspect(now, home) || !alone && !h.corroborated(now, number, home) {
		return false
	}
	h.avoid(now, number)
	return true
}

func (h *Health) avoided(now time.Duration, number uint32) bool {
	c := h.avoidances[number]
	return c != nil && now < c.until
}

// avoid lets the upstream be avoided and forgets what was seen of it.
func (h *Health) avoid(now time.Duration, number uint32) {
	c := h.avoidances[number]
	if c == nil || now-c.until > strikeMemory {
		c = &avoidance{}
		h.avoidances[number] = c
	}
	c.until = now + avoidTime<<min(c.strikes, maxStrikes)
	c.strikes++
	for name := range h.sights {
		if name.number == number {
			delete(h.sights, name)
		}
	}
}

// suspect reports whether most upstreams that the host sees seem to fail, which points at the host.
func (h *Health) suspect(now time.Duration, host string) bool {
	failing, all := 0, 0
	for name, s := range h.sights {
		if name.host != host || !s.current(now) {
			continue
		}
		all++
		if s.failing {
			failing++
		}
	}
	return all > 1 && float64(failing) > hostSuspectShare*float64(all)
}

// Prune drops what is too old to count.
func (h *Health) Prune(now time.Duration) {
	for name, s := range h.sights {
		if now-s.updatedAt > corroborationTime {
			delete(h.sights, name)
		}
	}
	for number, c := range h.avoidances {
		if now-c.until > strikeMemory {
			delete(h.avoidances, number)
		}
	}
}
