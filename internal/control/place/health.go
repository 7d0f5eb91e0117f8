package place

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Thresholds and times of failure detection.
const (
	// An entry host observes an upstream as failing when at least failingRequests of its recent requests have failed and
	// these are at least failingShare of all. The observation counts once it has lasted for failingFor.
	failingShare    = 0.5
	failingRequests = 20
	failingFor      = 1500 * time.Millisecond
	// observationTTL is how long after its last update an observation is current, confirmationTime how long it can confirm
	// that of another entry host.
	observationTTL   = 10 * time.Second
	confirmationTime = 2 * time.Minute
	// hostSuspectShare is the share of upstreams above which the entry host that observes them as failing is suspect.
	hostSuspectShare = 0.5
	// ejectionTime is the length of the first ejection. It doubles with each further one, up to maxDoublings times. An
	// upstream that has not been ejected for ejectionMemory starts again.
	ejectionTime   = 30 * time.Second
	maxDoublings   = 5
	ejectionMemory = 30 * time.Minute
)

// observationKey identifies the observation of an upstream by an entry host.
type observationKey struct {
	number uint32
	host   string
}

// observation is the recent number of answered and failed requests from one entry host to one upstream. Older counts are
// halved with each report.
type observation struct {
	answered     float64
	failed       float64
	updatedAt    time.Duration
	failingSince time.Duration
	failing      bool
}

// persistent reports whether the upstream has been failing for failingFor.
func (o *observation) persistent() bool { return o.failing && o.updatedAt-o.failingSince >= failingFor }

// current reports whether the observation was updated within observationTTL.
func (o *observation) current(now time.Duration) bool { return now-o.updatedAt <= observationTTL }

// ejection is how often an upstream has been ejected, and until when it is.
type ejection struct {
	count int
	until time.Duration
}

// Health detects failing upstreams from the requests that entry hosts send to them. An upstream's own report is not used,
// and the observation of one entry host is not enough, as that host or its network may be at fault: if an upstream's home,
// the entry host that queues its requests, observes it as failing, another entry host becomes its alternate home. The
// upstream is failing only if the alternate home confirms the observation. A failing upstream is ejected for some time.
type Health struct {
	observations map[observationKey]*observation
	ejections    map[uint32]*ejection
}

// NewHealth returns a Health without observations.
func NewHealth() *Health {
	return &Health{observations: map[observationKey]*observation{}, ejections: map[uint32]*ejection{}}
}

// Add adds the requests that an entry host sent to an upstream since its last report.
func (h *Health) Add(now time.Duration, host string, stats table.UpstreamStats) {
	key := observationKey{number: stats.Number, host: host}
	o := h.observations[key]
	if o == nil || !o.current(now) {
		o = &observation{}
		h.observations[key] = o
	}
	o.answered = o.answered/2 + float64(stats.Answered)
	o.failed = o.failed/2 + float64(stats.Failed)
	o.updatedAt = now
	bad := o.failed >= failingRequests && o.failed >= failingShare*(o.failed+o.answered)
	if bad && !o.failing {
		o.failingSince = now
	}
	o.failing = bad
}

// Suspected reports whether the host observes the upstream as failing and no other host confirms it. Another host should
// then become the upstream's alternate home. An upstream that is ejected is not suspected.
func (h *Health) Suspected(now time.Duration, number uint32, host string) bool {
	if h.ejected(now, number) {
		return false
	}
	o := h.observations[observationKey{number: number, host: host}]
	return o != nil && o.current(now) && o.persistent() && !h.confirmedByOther(now, number, host)
}

// confirmedByOther reports whether a host other than except has observed the upstream as failing within confirmationTime.
func (h *Health) confirmedByOther(now time.Duration, number uint32, except string) bool {
	for key, o := range h.observations {
		if key.number == number && key.host != except && o.persistent() && now-o.updatedAt <= confirmationTime {
			return true
		}
	}
	return false
}

// Failing reports whether the upstream is ejected, and ejects it if its home observes it as failing, the home is not
// suspect itself, and another host confirms the observation. onlyHost is set if there is no other entry host; no
// confirmation is needed then. The time of an ejection doubles each time.
func (h *Health) Failing(now time.Duration, number uint32, home string, onlyHost bool) bool {
	if h.ejected(now, number) {
		return true
	}
	o := h.observations[observationKey{number: number, host: home}]
	if o == nil || !o.current(now) || !o.persistent() || h.hostSuspect(now, home) || !onlyHost && !h.confirmedByOther(now, number, home) {
		return false
	}
	h.eject(now, number)
	return true
}

func (h *Health) ejected(now time.Duration, number uint32) bool {
	e := h.ejections[number]
	return e != nil && now < e.until
}

// eject ejects the upstream and removes its observations.
func (h *Health) eject(now time.Duration, number uint32) {
	e := h.ejections[number]
	if e == nil || now-e.until > ejectionMemory {
		e = &ejection{}
		h.ejections[number] = e
	}
	e.until = now + ejectionTime<<min(e.count, maxDoublings)
	e.count++
	for key := range h.observations {
		if key.number == number {
			delete(h.observations, key)
		}
	}
}

// hostSuspect reports whether the host observes most of its upstreams as failing, so that the host itself is probably at
// fault.
func (h *Health) hostSuspect(now time.Duration, host string) bool {
	failing, all := 0, 0
	for key, o := range h.observations {
		if key.host != host || !o.current(now) {
			continue
		}
		all++
		if o.failing {
			failing++
		}
	}
	return all > 1 && float64(failing) > hostSuspectShare*float64(all)
}

// Prune removes observations and ejections that are too old to have an effect.
func (h *Health) Prune(now time.Duration) {
	for key, o := range h.observations {
		if now-o.updatedAt > confirmationTime {
			delete(h.observations, key)
		}
	}
	for number, e := range h.ejections {
		if now-e.until > ejectionMemory {
			delete(h.ejections, number)
		}
	}
}
