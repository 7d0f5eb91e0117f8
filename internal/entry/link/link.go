package link

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/clock"
)

// Link is a host's network link with its queue of downloads. It is safe for concurrent use. A nil Link is one of unknown rate: it admits
// everything and paces nothing.
type Link struct {
	mutex    sync.Mutex
	clock    clock.Clock
	sent     *Gauge
	received *Gauge
	pacer    *Pacer
	queue    Queue
	sizes    *sizes
	waiting  map[*Download]chan struct{}
}

// New returns a link with the rate in bytes per second, or nil if the rate is zero.
func New(rate float64, now clock.Clock) *Link {
	if rate <= 0 {
		return nil
	}
	return &Link{clock: now, sent: NewGauge(rate), received: NewGauge(rate), pacer: NewPacer(rate), sizes: newSizes(),
		waiting: map[*Download]chan struct{}{}}
}

// ErrBusy is returned when a request must not be handled because the link is busy. After is the time until it may return.
type ErrBusy struct {
	After time.Duration
}

// Error returns the message.
func (e *ErrBusy) Error() string { return "the host's link is busy" }

// Admit returns ErrBusy if a small request must be rejected. silence is the time since the last response of control.
func (l *Link) Admit(priority int, objective, silence time.Duration) error {
	if l == nil {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock()
	a := Admit(NewLoad(l.sent.Delay(now), l.received.Utilization(now), silence), priority, objective, rand.Float64())
	if !a.Admitted() {
		return &ErrBusy{After: a.After()}
	}
	return nil
}

// Delay returns how long a byte waits that is sent now.
func (l *Link) Delay() time.Duration {
	if l == nil {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.sent.Delay(l.clock())
}

// Load returns the utilization of both directions and the number of downloads that wait for the link.
func (l *Link) Load() (sent, received float64, waiting int) {
	if l == nil {
		return 0, 0, 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock()
	return l.sent.Utilization(now), l.received.Utilization(now), l.queue.Waiting()
}

// AddSent records bytes that were handed to the link.
func (l *Link) AddSent(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent.Add(l.clock(), bytes)
}

// AddReceived records bytes that were received.
func (l *Link) AddReceived(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.received.Add(l.clock(), bytes)
}

// rate returns the rate for large responses; the mutex must be held.
func (l *Link) rate(now time.Duration) float64 {
	return l.pacer.Rate(now, max(l.sent.Usage(now), l.received.Usage(now)))
}

// Transfer is a download that may use the link. Finish must be called once.
type Transfer struct {
	link     *Link
	route    string
	download *Download
	ctx      context.Context
	began    time.Duration
	lead     time.Duration
	bytes    int
}

// Begin waits until a download of the route may start. It returns ErrBusy if the download cannot finish in time, and the error of the
// context waiting if that ends first. The transfer is no longer paced once ctx has ended.
func (l *Link) Begin(ctx, waiting context.Context, route string, due, expires time.Duration) (t *Transfer, err error) {
	if l == nil {
		return nil, nil
	}
	l.mutex.Lock()
	now := l.clock()
	size, lead := l.sizes.of(route)
	d := NewDownload(size, lead, due, expires)
	after, ok := l.queue.Submit(now, d, l.rate(now))
	if !ok {
		l.mutex.Unlock()
		return nil, &ErrBusy{After: after}
	}
	started := make(chan struct{})
	l.waiting[d] = started
	l.startDownloads(now)
	l.mutex.Unlock()
	if err = l.await(waiting, d, started); err != nil {
		return nil, err
	}
	return &Transfer{link: l, route: route, download: d, ctx: ctx, began: l.clock()}, nil
}

// await waits until a download starts. If the context ends first, it removes the download and returns the context's error.
func (l *Link) await(ctx context.Context, d *Download, started <-chan struct{}) error {
	timer := time.NewTimer(l.recheck())
	defer timer.Stop()
	for {
		select {
		case <-started:
			return nil
		case <-ctx.Done():
			l.finish(d)
			return ctx.Err()
		case <-timer.C:
			timer.Reset(l.recheck())
		}
	}
}

// recheck starts the downloads for which there is room, and returns when to call it again. Downloads that stall receive no bytes, which
// otherwise start the next ones.
func (l *Link) recheck() (wait time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock()
	l.startDownloads(now)
	return max(l.queue.NextRelease(now), time.Millisecond)
}

// startDownloads starts the downloads for which there is room; the mutex must be held.
func (l *Link) startDownloads(now time.Duration) {
	for _, d := range l.queue.Start(now, l.rate(now)) {
		close(l.waiting[d])
		delete(l.waiting, d)
	}
}

func (l *Link) finish(d *Download) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queue.Finish(d)
	delete(l.waiting, d)
	l.startDownloads(l.clock())
}

// Finish ends the transfer. If the response was complete, its size is learnt.
func (t *Transfer) Finish(complete bool) {
	if t == nil {
		return
	}
	t.link.mutex.Lock()
	if complete {
		t.link.sizes.learn(t.route, t.bytes, t.lead)
	}
	t.link.mutex.Unlock()
	t.link.finish(t.download)
}

// Body returns a reader that paces the response of the transfer, or that of its next attempt.
func (t *Transfer) Body(body io.Reader) io.Reader {
	t.bytes = 0
	return &pacedReader{transfer: t, body: body}
}

// pacedReader reads blocks of a response at the rate of the pacer.
type pacedReader struct {
	transfer *Transfer
	body     io.Reader
}

// Read reads at most one block, after the pause for the previous ones.
func (r *pacedReader) Read(b []byte) (n int, err error) {
	t := r.transfer
	n, err = r.body.Read(b[:min(len(b), blockSize)])
	if n == 0 {
		return n, err
	}
	wait := t.link.receive(t, n)
	if wait <= 0 {
		return n, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
	}
	return n, err
}

// receive records bytes of a transfer and returns the pause before the next ones.
func (l *Link) receive(t *Transfer, bytes int) (wait time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock()
	if t.bytes == 0 {
		t.lead = now - t.began
	}
	t.bytes += bytes
	l.queue.Received(t.download, bytes)
	wait = l.pacer.Reserve(now, bytes, max(l.sent.Usage(now), l.received.Usage(now)))
	l.startDownloads(now)
	return wait
}
