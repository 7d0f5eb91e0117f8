package broker

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Limits of what upstreams ask for.
const (
	maxPause       = 60 * time.Second       // longest pause that is kept
	maxDatedPause  = 5 * time.Second        // the same for a pause that ends at a time of day, as the clocks of both hosts may be wrong
	pauseWaitShare = 0.3                    // share of the time left for which a request waits for the end of a pause
	returnSpread   = 200 * time.Millisecond // time over which rejected callers return after the end of a pause
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
	NoticeCold    Notice = "cold"
	NoticeInvalid Notice = "invalid"
	// NoticeFull stands for the reset of a new connection by an upstream without room.
	NoticeFull Notice = "full"
)

// spreadReturn returns the Retry-After time for a request whose upstreams pause for the given time. It differs between callers, so that
// they do not all return at once.
func spreadReturn(pause time.Duration) time.Duration { return pause + rand.N(returnSpread) }
