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

// Periods and limits of the calls to the control leader.
const (
	renewalsPerLease       = 4 // renewals in the time of one lease
	defaultReportPeriod    = 2 * time.Second
	batchPause             = 5 * time.Millisecond   // how long a renewal waits for further announcements
	renewAttemptTimeout    = 250 * time.Millisecond // for each attempt at a control host
	renewTimeout           = time.Second            // for all attempts of a renewal
	watchWait              = time.Second            // how long control may wait for a new version before it responds
	watchAttemptTimeout    = watchWait + 500*time.Millisecond
	maxWatchTime           = time.Minute // for all attempts of a watch, and to receive a full table on a slow link
	failurePause           = 50 * time.Millisecond
	minWatchPause          = 15 * time.Millisecond  // between watches; versions that follow closely are applied together
	maxWatchPause          = 100 * time.Millisecond // the same on a host that takes long to apply a version
	maxAnnouncements       = 4096                   // waiting for a renewal
	maxResponseHold        = 160 * time.Millisecond // how long a response without changes to an announcement is held back
	reannounceDelay        = 5 * time.Millisecond   // after which an upstream is to announce again
	reannounceDelayJoining = 50 * time.Millisecond  // the same while it joins, or after a rejected announcement
)

// Options configure an Agent.
type Options struct {
	Host  table.EntryHost
	Hosts *wire.Hosts
	Lease time.Duration
	// ReportPeriod is how often statistics are sent to control.
	ReportPeriod time.Duration
	Table        *route.Table
	Stats        *stats.Recorder
	Log          *events.Log
}

// pendingAnnouncement is an announcement that is sent with the next renewal.
type pendingAnnouncement struct {
	message  table.Announcement
	since    time.Time
	response chan table.GrantResponse
}

// Agent runs an entry host's calls to control.
type Agent struct {
	options     Options
	mutex       sync.Mutex
	pending     []pendingAnnouncement
	wake        chan struct{}
	leaseEnd    atomic.Pointer[time.Time]
	leaving     atomic.Bool
	reportedAt  time.Time
	controlLost atomic.Bool
	respondedAt atomic.Int64
	departures  departures
}

// New returns an agent; RunRenewals and RunWatch do its work.
func New(o Options) *Agent {
	if o.ReportPeriod == 0 {
		o.ReportPeriod = defaultReportPeriod
	}
	a := &Agent{options: o, wake: make(chan struct{}, 1), reportedAt: time.Now()}
	a.leaseEnd.Store(&time.Time{})
	return a
}

// LeaseEnd returns the time until which this host may send requests to upstreams that do not check fencing tokens.
func (a *Agent) LeaseEnd() time.Time { return *a.leaseEnd.Load() }

// HasLease reports whether the host's lease is valid now.
func (a *Agent) HasLease() bool { return time.Now().Before(a.LeaseEnd()) }

// contactTime is how long after a response the control leader counts as reachable; it covers several watches.
const contactTime = 2 * time.Second

// ControlReachable reports whether a watch got a response within contactTime.
func (a *Agent) ControlReachable() bool {
	return a.Silence() < contactTime
}

// Silence returns the time since a watch last got a response.
func (a *Agent) Silence() time.Duration { return clock.Boot() - time.Duration(a.respondedAt.Load()) }

func (a *Agent) noteResponse() { a.respondedAt.Store(int64(clock.Boot())) }

// Leave announces with the next renewal that this host must no longer be the home of any upstream.
func (a *Agent) Leave() {
	a.leaving.Store(true)
	a.wakeRenewals()
}

// ErrBusy is returned when maxAnnouncements are waiting for a renewal.
type ErrBusy struct{}

// Error returns the message.
func (e *ErrBusy) Error() string { return "too many announcements wait for control" }

// Announce forwards an upstream's announcement to control and returns the response. A response without changes is held
// back until the slices of the service change, at most for maxResponseHold. The upstream announces again soon after each
// response, so that a planned move takes a few round trips instead of a few announcement periods.
func (a *Agent) Announce(ctx context.Context, announcement table.Announcement) (g table.GrantResponse, err error) {
	digest := a.options.Table.View().ServiceDigest(announcement.Service)
	if g, err = a.sendAnnouncement(ctx, announcement); err != nil {
		return g, err
	}
	g.AgainMillis = reannounceDelay.Milliseconds()
	switch {
	case g.Status == table.GrantJoining || g.Status == table.GrantRefused:
		g.AgainMillis = reannounceDelayJoining.Milliseconds()
	case g.Status == table.GrantHeld && !g.Changed:
		hold, cancel := context.WithTimeout(ctx, maxResponseHold)
		defer cancel()
		a.options.Table.AwaitService(hold, announcement.Service, digest)
	}
	return g, nil
}

// sendAnnouncement sends an announcement with the next renewal and waits for the response.
func (a *Agent) sendAnnouncement(ctx context.Context, announcement table.Announcement) (g table.GrantResponse, err error) {
	p := pendingAnnouncement{message: announcement, since: time.Now(), response: make(chan table.GrantResponse, 1)}
	a.mutex.Lock()
	if len(a.pending) >= maxAnnouncements {
		a.mutex.Unlock()
		return g, &ErrBusy{}
	}
	a.pending = append(a.pending, p)
	a.mutex.Unlock()
	a.wakeRenewals()
	select {
	case g = <-p.response:
		return g, nil
	case <-ctx.Done():
		return g, errors.WithMessage(ctx.Err(), "announce")
	}
}

func (a *Agent) wakeRenewals() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// RunRenewals renews the lease periodically, and soon after an announcement or a new table version, until the context ends.
func (a *Agent) RunRenewals(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-a.wake:
			sleep(ctx, batchPause)
		}
		a.renew(ctx)
		timer.Reset(min(a.options.Lease/renewalsPerLease, a.options.ReportPeriod))
	}
}

// renew makes one renewal with the pending announcements. If it fails they get no response, and their upstreams time out.
func (a *Agent) renew(ctx context.Context) {
	a.mutex.Lock()
	pending := a.pending
	a.pending = nil
	a.mutex.Unlock()
	r := a.renewal(pending)
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := time.Now()
	response, err := wire.CallLeaderFunc[table.Renewal, table.RenewalResponse](ctx, a.options.Hosts, renewAttemptTimeout, oper.Renew, func() *table.Renewal {
		return withAges(r, pending)
	})
	a.logControlChange(err)
	if err != nil {
		return
	}
	if response.Joined {
		end := sentAt.Add(time.Duration(response.LeaseMillis) * time.Millisecond)
		a.leaseEnd.Store(&end)
	}
	for i, g := range response.Grants {
		if i < len(pending) && g.Check(pending[i].message) == nil {
			pending[i].response <- g
		}
	}
}

// withAges returns a copy of the renewal in which each announcement has the time that it has waited at this host.
func withAges(r table.Renewal, pending []pendingAnnouncement) *table.Renewal {
	now := time.Now()
	r.Announcements = slices.Clone(r.Announcements)
	for i := range r.Announcements {
		r.Announcements[i].Age = table.Age(now.Sub(pending[i].since))
	}
	return &r
}

func (a *Agent) renewal(pending []pendingAnnouncement) (r table.Renewal) {
	r = table.Renewal{Host: a.options.Host, Applied: a.options.Table.View().Version(), Oldest: a.options.Table.OldestInFlight(),
		Leaving: a.leaving.Load(), LeavingUpstreams: a.departures.pending(time.Now(), a.options.Table.View())}
	for _, p := range pending {
		r.Announcements = append(r.Announcements, p.message)
	}
	if since := time.Since(a.reportedAt); since >= a.options.ReportPeriod {
		r.Period = since
		a.reportedAt = time.Now()
		a.options.Stats.Take(&r)
	}
	return r
}

func (a *Agent) logControlChange(err error) {
	if err != nil && !a.controlLost.Swap(true) {
		a.options.Log.Write(events.ControlLost, events.Cause(err))
	}
	if err == nil && a.controlLost.Swap(false) {
		a.options.Log.Write(events.ControlReachable)
	}
}

// RunWatch requests new versions of the table from control and applies them until the context ends.
func (a *Agent) RunWatch(ctx context.Context) error {
	full := false
	for ctx.Err() == nil {
		w := a.watchRequest(full)
		callCtx, cancel := context.WithTimeout(ctx, maxWatchTime)
		delta, err := wire.CallLeader[table.Watch, table.Delta](callCtx, a.options.Hosts, watchAttemptTimeout, oper.Watch, &w)
		cancel()
		if err != nil {
			sleep(ctx, failurePause)
			continue
		}
		a.noteResponse()
		began := time.Now()
		full = !a.apply(*delta)
		sleep(ctx, pauseAfter(time.Since(began), len(a.options.Table.View().Entries())))
	}
	return nil
}

// pauseAfter returns the pause after a version that took some time to apply. A host with little processor time applies more versions
// together, so that it spends at most a twentieth of its time on them. Beyond hostsPerPause entry hosts the pause grows with their number,
// so that the number of watches that control answers does not.
func pauseAfter(took time.Duration, hosts int) time.Duration {
	least := minWatchPause * time.Duration(max(hosts, hostsPerPause)) / hostsPerPause
	return min(max(20*took, least), maxWatchPause)
}

// hostsPerPause is the number of entry hosts up to which minWatchPause applies.
const hostsPerPause = 100

func (a *Agent) watchRequest(full bool) (w table.Watch) {
	view := a.options.Table.View()
	w = table.Watch{Name: a.options.Host.Name, Version: view.Version(), Digest: view.Digest(), MaxWait: watchWait}
	if full {
		w.Version, w.Digest = 0, 0
	}
	return w
}

// apply applies a delta to the table and reports whether that succeeded; if not, the next watch requests the full table.
func (a *Agent) apply(d table.Delta) bool {
	before := a.options.Table.View()
	if !d.Full && d.To == before.Version() {
		return true
	}
	if err := a.options.Table.Apply(d); err != nil {
		a.options.Log.Write(events.TableRejected, events.Cause(err))
		return false
	}
	after := a.options.Table.View()
	if len(d.Control) > 0 {
		a.updateControlHosts(d.Control)
	}
	a.options.Log.Write(events.TableApplied, zap.Uint64("version", after.Version()), zap.String("control", a.Control()),
		zap.Int("upstreams", len(d.Upstreams)), zap.Int("items", len(d.Items)), zap.Int("services", len(d.Tables)))
	if after.Config().Version != before.Config().Version {
		a.options.Log.Write(events.ConfigInForce, zap.Uint64("version", after.Config().Version))
	}
	if after.Evacuations() != before.Evacuations() {
		a.logEvacuations(after)
	}
	if after.Unchecked() || !a.HasLease() {
		a.wakeRenewals()
	}
	return true
}

// logEvacuations logs which data centres are out of service.
func (a *Agent) logEvacuations(v *table.View) {
	var names []string
	for _, r := range v.Evacuations().ListOut() {
		names = append(names, r.DataCentre)
	}
	a.options.Log.Write(events.EvacuationsApplied, zap.Strings("out", names), zap.Uint64("version", v.Version()))
}

// updateControlHosts sets the addresses of the control hosts; those in this host's data centre are preferred.
func (a *Agent) updateControlHosts(control []table.ControlHost) {
	var local, remote []string
	for _, h := range control {
		if h.DataCentre == a.options.Host.DataCentre {
			local = append(local, h.Address)
		} else {
			remote = append(remote, h.Address)
		}
	}
	a.options.Hosts.Learn(local, remote)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Control returns the address of the control host that responded last, or of any if none has.
func (a *Agent) Control() string {
	if last := a.options.Hosts.Last(); last != "" {
		return last
	}
	return a.options.Hosts.Addresses()[0]
}
