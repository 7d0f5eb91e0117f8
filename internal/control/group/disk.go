package group

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// diskRetry is how often a disk that refused a write is tried again; short against an election.
const diskRetry = 300 * time.Millisecond

// loseDisk steps down after the disk has refused a write: what is in memory may be ahead of the disk, so that the replica
// must not speak until it has read its folder again. Without a way to open the folder anew the host ends.
func (g *Group) loseDisk(cause error) error {
	if g.reopen == nil {
		return cause
	}
	g.options.Log.Write(events.DiskFailed, events.Cause(cause))
	g.failWaiters()
	g.giveUpForwarding()
	g.closeDisk()
	g.core, g.lead, g.retryAt = nil, nil, g.now()+diskRetry
	g.lostDisk = true
	return nil
}

// findDisk opens the folder anew after the disk had refused a write.
func (g *Group) findDisk() (err error) {
	if !g.lostDisk || g.now() < g.retryAt {
		return nil
	}
	g.retryAt = g.now() + diskRetry
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
	g.lostDisk = false
	g.options.Log.Write(events.DiskRecovered)
	return nil
}

func (g *Group) closeDisk() {
	if err := g.store.Close(); err != nil {
		g.options.Log.Write(events.DiskFailed, events.Cause(err))
	}
}
