package daemon

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// settingsPeriod is how often the settings file is looked at for a change that no signal told of.
const settingsPeriod = 2 * time.Second

// watchSettings reads the settings again on SIGHUP and when the file has changed. What can change while the daemon runs are
// the addresses of control hosts; the rest waits for the next start.
func (d *Daemon) watchSettings(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	if d.file == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	last := d.settingsChanged(time.Time{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			d.reload()
			last = d.settingsChanged(time.Time{})
		case <-ticker.C:
			if changed := d.settingsChanged(last); !changed.Equal(last) {
				last = changed
				d.reload()
			}
		}
	}
}

// settingsChanged returns when the settings file was written, or the given time where that cannot be told.
func (d *Daemon) settingsChanged(otherwise time.Time) time.Time {
	info, err := os.Stat(d.file)
	if err != nil {
		return otherwise
	}
	return info.ModTime()
}

func (d *Daemon) reload() {
	next, err := conf.ReadSettings(d.file)
	if err != nil {
		d.log.Write(events.ReloadRejected, events.Cause(err))
		return
	}
	changed := !slices.Equal(next.Control(), d.settings.Control())
	if changed && d.hosts != nil {
		d.hosts.Replace(next.Control())
	}
	if changed && d.group != nil {
		d.group.SetSeeds(next.Control())
	}
	d.log.Write(events.Reloaded, zap.Strings("control", next.Control()), zap.Bool("changed", changed))
}
