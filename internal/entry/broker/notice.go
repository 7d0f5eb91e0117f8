package broker

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Limits of what upstreams ask for.
const (
	maxPause        = 60 * time.Second       // longest pause that is kept
	maxDatedPause   = 5 * time.Second        // the same for a pause that ends at a time of day, as the clocks of both hosts may be wrong
	pauseWaitShare  = 0.3                    // share of the time left for which a request waits for the end of a pause
	returnSpread    = 200 * time.Millisecond // time over which rejected callers return after the end of a pause
	noticeRetention = 10 * time.Minute       // how long the notice of a process is kept that is not in the table
)

// notice is what an upstream says about itself in the header of a response: that it is leaving, or how long it wants no requests from
// this host. Invalid names the field that cannot be read, or whose value exceeds its limit.
type notice struct {
	leaving bool
	pause   time.Duration
	invalid string
}

// noticeIn reads the notice in a response. The time is the time of day.
func (names HeaderNames) noticeIn(status int, h http.Header, now time.Time) (n notice) {
	switch text := strings.TrimSpace(h.Get(names.Leaving)); text {
	case "", "0":
	case "1":
		n.leaving = true
	default:
		n.invalid = names.Leaving
	}
	text := strings.TrimSpace(h.Get(retryAfterHeader))
	if status != http.StatusServiceUnavailable || text == "" {
		return n
	}
	var valid bool
	if n.pause, valid = parsePause(text, now); !valid {
		n.invalid = retryAfterHeader
	}
	return n
}

// retryAfterHeader is the header field with the time after which to send a request again.
const retryAfterHeader = "Retry-After"

// parsePause returns the time in a Retry-After header field: a number of seconds, which may have a fraction, or a date. It reports false
// if the text is neither, or exceeds the limit to which the pause is then shortened.
func parsePause(text string, now time.Time) (pause time.Duration, valid bool) {
	if date, err := http.ParseTime(text); err == nil {
		pause = max(date.Sub(now), 0)
		return min(pause, maxDatedPause), pause <= maxDatedPause
	}
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case seconds > maxPause.Seconds(): // also if it is out of range
		return maxPause, false
	case err != nil:
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// processNotice is what one upstream process has said. Number and service are those of the upstream in the table, zero and empty if it is
// not in the table.
type processNotice struct {
	number      uint32
	service     string
	leaving     bool
	leavingAt   time.Duration
	pausedUntil time.Duration
	listedAt    time.Duration
}

// notices holds what upstream processes have said to this host, and which of them leave according to the table. A process that leaves does
// so for good, whatever later tables say, also if it joins again under another number. It reads no clock and is safe for concurrent use.
type notices struct {
	mutex     sync.Mutex
	processes map[table.Process]*processNotice
}

func newNotices() *notices { return &notices{processes: map[table.Process]*processNotice{}} }

// of returns the notice of an upstream's process and creates it if necessary; the mutex must be held.
func (n *notices) of(now time.Duration, u table.Upstream) *processNotice {
	p := n.processes[u.Process()]
	if p == nil {
		p = &processNotice{}
		n.processes[u.Process()] = p
	}
	p.number, p.service, p.listedAt = u.Number, u.Service, now
	return p
}

// leave records that an upstream leaves, and reports whether that was not known.
func (n *notices) leave(now time.Duration, u table.Upstream) (first bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.markLeaving(now, u)
}

// markLeaving is leave for a caller that holds the mutex.
func (n *notices) markLeaving(now time.Duration, u table.Upstream) (first bool) {
	p := n.of(now, u)
	if p.leaving {
		return false
	}
	p.leaving, p.leavingAt = true, now
	return true
}

// leavingSince reports whether an upstream leaves, and since when this host has known.
func (n *notices) leavingSince(u table.Upstream) (at time.Duration, leaving bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p := n.processes[u.Process()]
	if p == nil || !p.leaving {
		return 0, false
	}
	return p.leavingAt, true
}

// leavingNumbers returns the numbers of the upstreams that leave.
func (n *notices) leavingNumbers() map[uint32]bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	numbers := map[uint32]bool{}
	for _, p := range n.processes {
		if p.leaving {
			numbers[p.number] = true
		}
	}
	return numbers
}

// setPause records that an upstream wants no requests from this host for some time.
func (n *notices) setPause(now time.Duration, u table.Upstream, pause time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p := n.of(now, u)
	p.pausedUntil = max(p.pausedUntil, now+pause)
}

// pause returns how much longer an upstream wants no requests from this host.
func (n *notices) pause(now time.Duration, u table.Upstream) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if p := n.processes[u.Process()]; p != nil {
		return max(p.pausedUntil-now, 0)
	}
	return 0
}

// unwilling returns the numbers of a service's upstreams that leave or pause. If some pause, soonest is the time until the first of them
// may get requests again, and otherwise zero.
func (n *notices) unwilling(now time.Duration, service string) (numbers []uint32, soonest time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, p := range n.processes {
		paused := p.pausedUntil > now
		if p.service != service || !p.leaving && !paused {
			continue
		}
		numbers = append(numbers, p.number)
		if paused && !p.leaving && (soonest == 0 || p.pausedUntil-now < soonest) {
			soonest = p.pausedUntil - now
		}
	}
	return numbers, soonest
}

// UnwillingUpstream is an upstream that leaves, or pauses for this host: for how many milliseconds it may still be sent requests for its
// keys, or gets none.
type UnwillingUpstream struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Service     string `json:"service"`
	Leaving     bool   `json:"leaving"`
	UsableMs    int64  `json:"usableMs"`
	PausedMs    int64  `json:"pausedMs"`
}

// list returns the upstreams in the table that leave or pause, by name.
func (n *notices) list(now, leaveTime time.Duration) (list []UnwillingUpstream) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for process, p := range n.processes {
		if p.number == 0 || !p.leaving && p.pausedUntil <= now {
			continue
		}
		u := UnwillingUpstream{Name: process.Name, Incarnation: process.Incarnation, Service: p.service, Leaving: p.leaving,
			PausedMs: max(p.pausedUntil-now, 0).Milliseconds()}
		if p.leaving {
			u.UsableMs = max(p.leavingAt+leaveTime-now, 0).Milliseconds()
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b UnwillingUpstream) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// update applies a new view of the table. It forgets pauses that are over, and processes that are not in the table for long.
func (n *notices) update(now time.Duration, v *table.View) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, p := range n.processes {
		p.number, p.service = 0, ""
	}
	for _, u := range v.Upstreams() {
		switch {
		case u.Leaving:
			n.markLeaving(now, u)
		case len(n.processes) > 0 && n.processes[u.Process()] != nil:
			n.of(now, u)
		}
	}
	maps.DeleteFunc(n.processes, func(_ table.Process, p *processNotice) bool {
		return !p.leaving && p.pausedUntil <= now || now-p.listedAt > noticeRetention
	})
}

// readNotice records and logs what an upstream says about itself in the header of its response to a request.
func (b *Broker) readNotice(id string, u table.Upstream, status int, h http.Header) {
	n := b.options.Headers.noticeIn(status, h, time.Now())
	now := b.options.Clock()
	fields := []zap.Field{zap.String("id", id), zap.String("upstream", u.Name), zap.Uint64("incarnation", u.Incarnation),
		zap.String("service", u.Service), zap.Uint64("table", b.options.Table.View().Version())}
	if n.invalid != "" {
		b.options.Observer.Noticed(u.Service, NoticeInvalid)
		b.options.Log.Write(events.NoticeInvalid, append(fields, zap.String("field", n.invalid), zap.String("value", clip(h.Get(n.invalid))),
			zap.Duration("pause", n.pause))...)
	}
	if n.leaving && b.upstreams.notices.leave(now, u) {
		b.options.Observer.Noticed(u.Service, NoticeLeaving)
		b.options.Log.Write(events.LeavingNoticed, append(fields, zap.Duration("lastUse", b.leaveTime()))...)
		if b.options.OnLeaving != nil {
			b.options.OnLeaving(u.Process())
		}
	}
	if n.pause > 0 {
		b.upstreams.notices.setPause(now, u, n.pause)
		b.options.Observer.Noticed(u.Service, NoticePause)
		b.options.Log.Write(events.PauseNoticed, append(fields, zap.Duration("pause", n.pause))...)
	}
}

// Unwilling returns the upstreams that leave, or pause for this host.
func (b *Broker) Unwilling() []UnwillingUpstream {
	return b.upstreams.notices.list(b.options.Clock(), b.leaveTime())
}

// maxLoggedValue is the longest part of a header field that is logged, in bytes.
const maxLoggedValue = 40

func clip(text string) string { return text[:min(len(text), maxLoggedValue)] }

// Notice is a kind of what upstreams say about themselves, as counted in metrics.
type Notice string

// Notices.
const (
	NoticeLeaving Notice = "leaving"
	NoticePause   Notice = "pause"
	NoticeInvalid Notice = "invalid"
)

// spreadReturn returns the Retry-After time for a request whose upstreams pause for the given time. It differs between callers, so that
// they do not all return at once.
func spreadReturn(pause time.Duration) time.Duration { return pause + rand.N(returnSpread) }
