package daemon

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// Times of a stop.
const (
	handOverPause  = 600 * time.Millisecond
	leavePause     = 3 * time.Second
	leavePollPause = 20 * time.Millisecond
)

// drain stops being ready, serves on while the balancer moves away, leaves the table, lets requests finish and hands
// over leadership, in that order and within the bound.
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
	cut := false
	switch {
	case d.front != nil:
		if err := d.broker.Stop(ctx, d.front, d.settings.StopTimes(), d.follower.Leave); err != nil {
			cut = true
			d.log.Write(events.DrainTimedOut, zap.Int("connections", d.front.Busy()), events.Cause(err))
		}
	case d.callers != nil:
		serving := time.AfterFunc(d.settings.StopTimes().Serving(), d.relay.StopServing)
		defer serving.Stop()
		pause(ctx, d.settings.StopTimes().Notice())
		d.follower.Leave()
		d.awaitLeft(ctx)
		_ = d.callers.Shutdown(ctx)
	}
	d.awaitFlights(ctx)
	if d.group != nil {
		d.group.TransferLeadership(ctx)
		pause(ctx, handOverPause)
		if d.outside != nil {
			_ = d.outside.Shutdown(ctx)
		}
	}
	_ = d.peers.Shutdown(ctx)
	if d.flights.Load() > 0 {
		cut = true
		d.log.Write(events.DrainTimedOut, zap.Int64("requests", d.flights.Load()))
	}
	if !cut {
		d.log.Write(events.Drained)
	}
}

// awaitLeft waits until the table names this host no longer, so that no other entry host sends here.
func (d *Daemon) awaitLeft(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leavePause)
	defer cancel()
	for ctx.Err() == nil && d.inTable() {
		pause(ctx, leavePollPause)
	}
	pause(ctx, d.settings.LeaseTime()/4)
}

func (d *Daemon) inTable() bool {
	for _, e := range d.table.View().Entries() {
		if e.Name == d.settings.Name() {
			return true
		}
	}
	return false
}

func (d *Daemon) awaitFlights(ctx context.Context) {
	for ctx.Err() == nil && d.flights.Load() > 0 {
		pause(ctx, leavePollPause)
	}
}

func pause(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}
