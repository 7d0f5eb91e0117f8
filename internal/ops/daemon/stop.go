package daemon

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// Durations in a graceful stop.
const (
	transferPause     = 600 * time.Millisecond // after a leadership transfer
	leaveTimeout      = 3 * time.Second        // for the removal from the table
	leavePollInterval = 20 * time.Millisecond
)

// drain stops the host gracefully, within the bound of the settings and in this order: it reports not ready, continues to serve
// while the load balancer moves to other hosts, leaves the table, waits for requests in flight, and transfers the leadership of the
// control group. A signal on the channel ends the waits.
func (d *Daemon) drain(signals <-chan os.Signal) {
	d.stopping.Store(true)
	d.log.Write(events.Stopping)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimes().End())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	interrupted := false
	switch {
	case d.brokerServer != nil:
		if err := d.broker.Stop(ctx, d.brokerServer, d.settings.StopTimes(), d.agent.Leave); err != nil {
			interrupted = true
			d.log.Write(events.DrainTimedOut, zap.Int("connections", d.brokerServer.Busy()), events.Cause(err))
		}
	case d.relayServer != nil:
		serving := time.AfterFunc(d.settings.StopTimes().Serving(), d.relay.StopServing)
		defer serving.Stop()
		pause(ctx, d.settings.StopTimes().Notice())
		d.agent.Leave()
		d.awaitRemoval(ctx)
		_ = d.relayServer.Shutdown(ctx)
	}
	d.awaitInFlight(ctx)
	if d.group != nil {
		d.group.TransferLeadership(ctx)
		pause(ctx, transferPause)
		if d.platformServer != nil {
			_ = d.platformServer.Shutdown(ctx)
		}
	}
	_ = d.peerServer.Shutdown(ctx)
	if d.inFlight.Load() > 0 {
		interrupted = true
		d.log.Write(events.DrainTimedOut, zap.Int64("requests", d.inFlight.Load()))
	}
	if !interrupted {
		d.log.Write(events.Drained)
	}
}

// awaitRemoval waits until this host's table no longer contains the host itself, and then for a quarter of a lease, in which the
// other entry hosts apply that table too, so that none of them forwards requests to this host. It waits for leaveTimeout at most.
func (d *Daemon) awaitRemoval(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for ctx.Err() == nil && d.inTable() {
		pause(ctx, leavePollInterval)
	}
	pause(ctx, d.settings.LeaseTime()/4)
}

// inTable reports whether this host's table contains the host itself as an entry host.
func (d *Daemon) inTable() bool {
	for _, e := range d.table.View().Entries() {
		if e.Name == d.settings.Name() {
			return true
		}
	}
	return false
}

// awaitInFlight waits until no request is in flight.
func (d *Daemon) awaitInFlight(ctx context.Context) {
	for ctx.Err() == nil && d.inFlight.Load() > 0 {
		pause(ctx, leavePollInterval)
	}
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}
