package agent

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/stats"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Periods and bounds of the calls to control.
const (
	renewsPerLease   = 4
	loadPeriod       = 2 * time.Second
	batchPause       = 5 * time.Millisecond
	renewTry         = 250 * time.Millisecond
	renewBound       = time.Second
	watchHold        = time.Second
	watchTry         = watchHold + 500*time.Millisecond
	failurePause     = 50 * time.Millisecond
	watchGap         = 15 * time.Millisecond
	maxAnnouncements = 4096
	answerHold       = 160 * time.Millisecond
	againSoon        = 5 * time.Millisecond
	againJoining     = 50 * time.Millisecond
)

// Options describe an entry host's tie to control.
type Options struct {
	Host  table.EntryHost
	Hosts *wire.Hosts
	Lease time.Duration
	// Report is how often load is told to control.
	ReportPeriod time.Duration
	Table        *route.Table
	Stats        *stats.Recorder
	Log          *events.Log
}

// pendingAnnouncement is an announcement that waits for the next renewal.
type pendingAnnouncement struct {
	announcement table.Announcement
	since        time.Time
	answer       chan table.GrantResponse
}

// Agent runs an entry host's calls to control.
type Agent struct {
	options  Options
	mutex    sync.Mutex
	pending  []pendingAnnouncement
	wake     chan struct{}
	leaseEnd atomic.Pointer[time.Time]
	leaving  atomic.Bool
	loadAt   time.Time
	lost     atomic.Bool
	touched  atomic.Int64
}

// New returns a follower.
func New(o Options) *Agent {
	if o.ReportPeriod == 0 {
		o.ReportPeriod = loadPeriod
	}
	f := &Agent{options: o, wake: make(chan struct{}, 1), loadAt: time.Now()}
	f.leaseEnd.Store(&time.Time{})
	return f
}

// LeaseEnd returns until when this host may send to upstreams that do not check fences.
func (f *Agent) LeaseEnd() time.Time { return *f.leaseEnd.Load() }

// HasLease reports whether the host holds a lease now.
func (f *Agent) HasLease() bool { return time.Now().Before(f.LeaseEnd()) }

// touchTime is for how long after an answer of control an entry host counts as in touch; several watches fit into it.
const touchTime = 2 * time.Second

// ControlReachable reports whether control answered lately.
func (f *Agent) ControlReachable() bool {
	return clock.Boot()-time.Duration(f.touched.Load()) < touchTime
}

func (f *Agent) touch() { f.touched.Store(int64(clock.Boot())) }

// Leave tells control with the next renewal that this host stops being anyone's home.
func (f *Agent) Leave() {
	f.leaving.Store(true)
	f.signal()
}

// ErrBusy is returned when too many announcements wait already.
type ErrBusy struct{}

// Error returns the message.
func (e *ErrBusy) Error() string { return "too many announcements wait for control" }

// Announce passes an upstream's announcement on and waits for the answer. An answer without news is held back for a
// while, until the slices of the service change: the upstream then asks again at once, and a planned move takes a few
// round trips in place of a few announcement periods.
func (f *Agent) Announce(ctx context.Context, a table.Announcement) (g table.GrantResponse, err error) {
	digest := f.options.Table.View().ServiceDigest(a.Service)
	if g, err = f.pass(ctx, a); err != nil {
		return g, err
	}
	g.AgainMillis = againSoon.Milliseconds()
	switch {
	case g.Status == table.GrantJoining || g.Status == table.GrantRefused:
		g.AgainMillis = againJoining.Milliseconds()
	case g.Status == table.GrantHeld && !g.Changed:
		hold, cancel := context.WithTimeout(ctx, answerHold)
		defer cancel()
		f.options.Table.AwaitService(hold, a.Service, digest)
	}
	return g, nil
}

// pass brings an announcement to control with the next renewal.
func (f *Agent) pass(ctx context.Context, a table.Announcement) (g table.GrantResponse, err error) {
	p := pendingAnnouncement{announcement: a, since: time.Now(), answer: make(chan table.GrantResponse, 1)}
	f.mutex.Lock()
	if len(f.pending) >= maxAnnouncements {
		f.mutex.Unlock()
		return g, &ErrBusy{}
	}
	f.pending = append(f.pending, p)
	f.mutex.Unlock()
	f.signal()
	select {
	case g = <-p.answer:
		return g, nil
	case <-ctx.Done():
		return g, errors.WithMessage(ctx.Err(), "announce")
	}
}

func (f *Agent) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// RunRenewals renews until the context ends.
func (f *Agent) RunRenewals(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-f.wake:
			sleep(ctx, batchPause)
		}
		f.renew(ctx)
		timer.Reset(min(f.options.Lease/renewsPerLease, f.options.ReportPeriod))
	}
}

// renew makes one renewal; announcements whose renewal fails are answered by the upstream's own timeout.
func (f *Agent) renew(ctx context.Context) {
	f.mutex.Lock()
	pending := f.pending
	f.pending = nil
	f.mutex.Unlock()
	r := f.renewal(pending)
	ctx, cancel := context.WithTimeout(ctx, renewBound)
	defer cancel()
	sentAt := time.Now()
	answer, err := wire.CallLeaderFunc[table.Renewal, table.RenewalResponse](ctx, f.options.Hosts, renewTry, oper.Renew, func() *table.Renewal {
		return aged(r, pending)
	})
	f.noteControl(err)
	if err != nil {
		return
	}
	if answer.Joined {
		end := sentAt.Add(time.Duration(answer.LeaseMillis) * time.Millisecond)
		f.leaseEnd.Store(&end)
	}
	for i, g := range answer.Grants {
		if i < len(pending) && g.Check(pending[i].announcement) == nil {
			pending[i].answer <- g
		}
	}
}

// aged returns the renewal with the time that each announcement was held here.
func aged(r table.Renewal, pending []pendingAnnouncement) *table.Renewal {
	now := time.Now()
	r.Announcements = slices.Clone(r.Announcements)
	for i := range r.Announcements {
		r.Announcements[i].Age = table.Age(now.Sub(pending[i].since))
	}
	return &r
}

func (f *Agent) renewal(pending []pendingAnnouncement) (r table.Renewal) {
	r = table.Renewal{Host: f.options.Host, Applied: f.options.Table.View().Version(), Oldest: f.options.Table.OldestInFlight(),
		Leaving: f.leaving.Load()}
	for _, p := range pending {
		r.Announcements = append(r.Announcements, p.announcement)
	}
	if since := time.Since(f.loadAt); since >= f.options.ReportPeriod {
		r.Period = since
		f.loadAt = time.Now()
		f.options.Stats.Take(&r)
	}
	return r
}

func (f *Agent) noteControl(err error) {
	if err != nil && !f.lost.Swap(true) {
		f.options.Log.Write(events.ControlLost, events.Cause(err))
	}
	if err == nil && f.lost.Swap(false) {
		f.options.Log.Write(events.ControlReachable)
	}
}

// RunWatch takes in new versions of the table until the context ends; versions that follow each other closely are taken
// in together.
func (f *Agent) RunWatch(ctx context.Context) error {
	full := false
	for ctx.Err() == nil {
		w := f.watch(full)
		callCtx, cancel := context.WithTimeout(ctx, watchTry*2)
		delta, err := wire.CallLeader[table.Watch, table.Delta](callCtx, f.options.Hosts, watchTry, oper.Watch, &w)
		cancel()
		if err != nil {
			sleep(ctx, failurePause)
			continue
		}
		f.touch()
		full = !f.apply(*delta)
		sleep(ctx, watchGap)
	}
	return nil
}

func (f *Agent) watch(full bool) (w table.Watch) {
	view := f.options.Table.View()
	w = table.Watch{Name: f.options.Host.Name, Version: view.Version(), Digest: view.Digest(), MaxWait: watchHold}
	if full {
		w.Version, w.Digest = 0, 0
	}
	return w
}

// apply takes a delta in and reports whether it fitted; otherwise the next watch asks for everything.
func (f *Agent) apply(d table.Delta) bool {
	before := f.options.Table.View()
	if !d.Full && d.To == before.Version() {
		return true
	}
	if err := f.options.Table.Apply(d); err != nil {
		f.options.Log.Write(events.TableRejected, events.Cause(err))
		return false
	}
	after := f.options.Table.View()
	if len(d.Control) > 0 {
		f.learn(d.Control)
	}
	f.options.Log.Write(events.TableApplied, zap.Uint64("version", after.Version()), zap.String("control", f.Control()),
		zap.Int("upstreams", len(d.Upstreams)), zap.Int("items", len(d.Items)), zap.Int("services", len(d.Tables)))
	if after.Config().Version != before.Config().Version {
		f.options.Log.Write(events.ConfigInForce, zap.Uint64("version", after.Config().Version))
	}
	if after.Version() != before.Version() {
		f.signal()
	}
	return true
}

// learn notes where control hosts are, those of this host's data centre first.
func (f *Agent) learn(control []table.ControlHost) {
	var near, far []string
	for _, h := range control {
		if h.DataCentre == f.options.Host.DataCentre {
			near = append(near, h.Address)
		} else {
			far = append(far, h.Address)
		}
	}
	f.options.Hosts.Learn(near, far)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Control returns the address of the control host that answered last, or any.
func (f *Agent) Control() string {
	if last := f.options.Hosts.Last(); last != "" {
		return last
	}
	return f.options.Hosts.Addresses()[0]
}
