package group

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// reopenPeriod is the pause between two attempts to reopen a failed disk; it is short compared with an election.
const reopenPeriod = 300 * time.Millisecond

// handleDiskFailure steps down after a failed disk write. The state in memory may be ahead of the disk, so the replica must
// not send messages until it has read its data folder again. A host without a reopen function returns the error, which
// ends Run.
func (g *Group) handleDiskFailure(cause error) error {
	if g.reopen == nil {
		return cause
	}
	g.options.Log.Write(events.DiskFailed, events.Cause(cause))
	g.failWaiters()
	g.stopForwarding()
	g.closeDisk()
	g.core, g.leader, g.reopenAt = nil, nil, g.now()+reopenPeriod
	g.diskFailed = true
	return nil
}

// reopenDisk reopens the data folder after a failed write, rewrites the log and restores the state. If that fails, it is
// tried again after reopenPeriod.
func (g *Group) reopenDisk() (err error) {
	if !g.diskFailed || g.now() < g.reopenAt {
		return nil
	}
	g.reopenAt = g.now() + reopenPeriod
	d, err := g.reopen()
	if err != nil {
		g.options.Log.Write(events.DiskFailed, events.Cause(err))
		return nil
	}
	g.store = d
	if g.store.Joined() {
		if err = g.store.RewriteLog(); err != nil {
			g.options.Log.Write(events.DiskFailed, events.Cause(err))
			g.closeDisk()
			return nil
		}
		if err = g.restore(); err != nil {
			return err
		}
	}
	g.diskFailed = false
	g.options.Log.Write(events.DiskRecovered)
	return nil
}

func (g *Group) closeDisk() {
	if err := g.store.Close(); err != nil {
		g.options.Log.Write(events.DiskFailed, events.Cause(err))
	}
}
