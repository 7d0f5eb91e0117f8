package place

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Rules by which an upstream counts as failing.
const (
	failingShare     = 0.5
	failingRequests  = 20
	failingFor       = 3 * time.Second
	sightMemory      = 10 * time.Second
	hostSuspectShare = 0.5
	avoidTime        = 30 * time.Second
	maxStrikes       = 5
	strikeMemory     = 30 * time.Minute
)

// sight is what entry hosts saw of one upstream of late.
type sight struct {
	host         string
	answered     float64
	failed       float64
	updatedAt    time.Duration
	failingSince time.Duration
	failing      bool
	strikes      int
	avoidUntil   time.Duration
}

// Health judges upstreams by what entry hosts saw of them. An upstream's own report never condemns or clears it, and
// an entry host that sees most of its upstreams fail is itself the suspect.
type Health struct {
	sights map[uint32]*sight
}

// NewHealth returns a judge without sights.
func NewHealth() *Health { return &Health{sights: map[uint32]*sight{}} }

// Add takes in what one entry host saw since its last report.
func (h *Health) Add(now time.Duration, host string, seen table.UpstreamSight) {
	s := h.sights[seen.Number]
	if s == nil {
		s = &sight{}
		h.sights[seen.Number] = s
	}
	if now-s.updatedAt > sightMemory {
		*s = sight{strikes: s.strikes, avoidUntil: s.avoidUntil}
	}
	s.host = host
	s.answered = s.answered/2 + float64(seen.Answered)
	s.failed = s.failed/2 + float64(seen.Failed)
	s.updatedAt = now
	bad := s.failed >= failingRequests && s.failed >= failingShare*(s.failed+s.answered)
	if bad && !s.failing {
		s.failingSince = now
	}
	s.failing = bad
}

// Failing reports whether the upstream has failed most requests for a while, seen by a host that is not suspect. It
// stays avoided for a time that doubles with each relapse.
func (h *Health) Failing(now time.Duration, number uint32) bool {
	s := h.sights[number]
	if s == nil {
		return false
	}
	if now < s.avoidUntil {
		return true
	}
	if !s.failing || now-s.failingSince < failingFor || now-s.updatedAt > sightMemory || h.suspect(now, s.host) {
		return false
	}
	s.avoidUntil = now + avoidTime<<min(s.strikes, maxStrikes)
	s.strikes++
	s.failing = false
	return true
}

// suspect reports whether most upstreams that the host sees seem to fail, which points at the host.
func (h *Health) suspect(now time.Duration, host string) bool {
	failing, all := 0, 0
	for number, s := range h.sights {
		if now-max(s.updatedAt, s.avoidUntil) > strikeMemory {
			delete(h.sights, number)
			continue
		}
		if s.host != host || now-s.updatedAt > sightMemory {
			continue
		}
		all++
		if s.failing {
			failing++
		}
	}
	return all > 1 && float64(failing) > hostSuspectShare*float64(all)
}
