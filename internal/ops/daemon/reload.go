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

// settingsPollInterval is how often the modification time of the settings file is checked, as not every change is followed by a
// SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings reads the settings again on SIGHUP and when the file has changed. Only the addresses of control hosts are applied
// while the daemon runs; other settings apply from the next start.
func (d *Daemon) watchSettings(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	if d.settingsFile == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := d.settingsModTime(time.Time{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			d.reload()
			last = d.settingsModTime(time.Time{})
		case <-ticker.C:
			if changed := d.settingsModTime(last); !changed.Equal(last) {
				last = changed
				d.reload()
			}
		}
	}
}

// settingsModTime returns the modification time of the settings file, or otherwise if it cannot be read.
func (d *Daemon) settingsModTime(otherwise time.Time) time.Time {
	info, err := os.Stat(d.settingsFile)
	if err != nil {
		return otherwise
	}
	return info.ModTime()
}

// reload reads the settings and applies the addresses of control hosts. Invalid settings are logged and ignored.
func (d *Daemon) reload() {
	next, err := conf.ReadSettings(d.settingsFile)
	if err != nil {
		d.log.Write(events.ReloadRejected, events.Cause(err))
		return
	}
	changed := !slices.Equal(next.Control(), d.settings.Control())
	if changed && d.controlHosts != nil {
		d.controlHosts.Replace(next.Control())
	}
	if changed && d.group != nil {
		d.group.SetSeeds(next.Control())
	}
	d.log.Write(events.Reloaded, zap.Strings("control", next.Control()), zap.Bool("changed", changed))
}
