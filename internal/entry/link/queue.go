package link

import (
	"cmp"
	"slices"
	"time"
)

// window is the time in which the link carries the large responses that may be outstanding at once. It covers the work of an
// upstream before its response begins, so that the link is not idle meanwhile.
const window = 500 * time.Millisecond

// timeMargin is the factor on the expected time of transfers, as sizes differ and downloads share the link.
const timeMargin = 1.25

// Download is a request for a large response: its expected size in bytes, the time that the upstream is expected to need before the
// response begins, when it should be complete (due), and when it must be (expires).
type Download struct {
	bytes   float64
	lead    time.Duration
	due     time.Duration
	expires time.Duration
	left    float64
	started bool
	// countedUntil is the time until which a started download counts against the window.
	countedUntil time.Duration
}

// NewDownload returns a download that has not started.
func NewDownload(bytes float64, lead, due, expires time.Duration) *Download {
	return &Download{bytes: bytes, left: bytes, lead: lead, due: due, expires: expires}
}

// Started reports whether the download may be sent to its upstream.
func (d *Download) Started() bool { return d.started }

// Queue decides when downloads start on a link that carries large responses at a limited rate. It answers bursts of downloads: those
// that cannot finish in time are rejected on arrival, and the others start in the order in which they are due.
type Queue struct {
	outstanding float64
	waiting     []*Download
	counted     []*Download
}

// Submit starts or queues a download. If it cannot finish in time, it is neither, and after is the time until it could.
func (q *Queue) Submit(now time.Duration, d *Download, rate float64) (after time.Duration, ok bool) {
	ahead := q.outstanding
	for _, w := range q.waiting {
		if w.due <= d.due {
			ahead += w.bytes
		}
	}
	done := now + d.lead + duration(timeMargin*(ahead+d.bytes)/rate)
	if done > d.expires {
		return max(done-d.expires, duration(d.bytes/rate)), false
	}
	i, _ := slices.BinarySearchFunc(q.waiting, d, func(a, b *Download) int { return cmp.Or(cmp.Compare(a.due, b.due), -1) })
	q.waiting = slices.Insert(q.waiting, i, d)
	return 0, true
}

// Start starts the downloads for which there is room, and returns them. One that is larger than the window starts alone. A started one
// that takes far longer than expected, as its caller or upstream is slow, leaves its share of the link to others.
func (q *Queue) Start(now time.Duration, rate float64) (started []*Download) {
	for _, d := range q.counted {
		if now > d.countedUntil {
			q.release(d)
		}
	}
	for len(q.waiting) > 0 {
		d := q.waiting[0]
		if q.outstanding > 0 && q.outstanding+d.bytes > rate*window.Seconds() {
			break
		}
		q.waiting = q.waiting[1:]
		d.started, d.countedUntil = true, now+d.lead+2*max(window, duration(d.bytes/rate))
		q.outstanding += d.left
		q.counted = append(q.counted, d)
		started = append(started, d)
	}
	return started
}

// NextRelease returns the time until the next started download no longer counts, as of now, or the window if there is none.
func (q *Queue) NextRelease(now time.Duration) (wait time.Duration) {
	wait = window
	for i, d := range q.counted {
		if left := d.countedUntil + 1 - now; i == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// Received records that bytes of a started download were received.
func (q *Queue) Received(d *Download, bytes int) {
	done := min(float64(bytes), d.left)
	d.left -= done
	q.outstanding = max(q.outstanding-done, 0)
}

// Finish removes a download that has ended or that will not start.
func (q *Queue) Finish(d *Download) {
	if d.started {
		q.release(d)
		return
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Download) bool { return w == d })
}

// release stops counting a started download.
func (q *Queue) release(d *Download) {
	d.left = 0
	q.counted = slices.DeleteFunc(slices.Clone(q.counted), func(o *Download) bool { return o == d })
	q.outstanding = 0
	for _, o := range q.counted {
		q.outstanding += o.left
	}
}

// Waiting returns the number of downloads that have not started.
func (q *Queue) Waiting() int { return len(q.waiting) }

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
