package group

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// isolation is how long a control host is cut off from the others, and how often the rest changes meanwhile.
const (
	isolation       = time.Hour
	isolationChange = 5 * time.Minute
)

// TestControlHostIsolatedForAnHour cuts the leader off from the other control hosts while entry hosts still reach it.
// Configurations move on; entry hosts restart and ask the isolated host first. None may take what it holds, and on its
// return it may depose nobody.
func TestControlHostIsolatedForAnHour(t *testing.T) {
	cuts := []struct {
		name            string
		inward, outward bool
	}{{"both ways", true, true}, {"nothing reaches it", true, false}, {"nothing leaves it", false, true}}
	for i, v := range cuts {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newWorld(worldOptions{seed: uint64(i + 1), hosts: 3, entries: 2, checked: 1})
			w.run(2 * time.Second)
			w.publishNext()
			w.run(4 * time.Second)
			isolated := w.leader()
			w.cut(isolated.name, w.hostNames(isolated.name), v.inward, v.outward)
			w.run(w.now + 3*time.Second)
			for end := w.now + isolation; w.now < end; w.run(w.now + isolationChange) {
				w.publishNext()
				w.run(w.now + time.Second)
				w.entries[0].askFirst(isolated)
			}
			leader := w.leader()
			c.Assert(leader, qt.IsNotNil)
			c.Assert(leader, qt.Not(qt.Equals), isolated)
			term := leader.group.core.Term()
			w.heal()
			w.run(w.now + 5*time.Second)
			c.Assert(w.leader(), qt.Equals, leader)
			c.Assert(leader.group.core.Term(), qt.Equals, term)
			c.Assert(isolated.group.state.Version(), qt.Equals, leader.group.state.Version())
			c.Assert(w.entries[0].view.Config().Version, qt.Equals, leader.group.state.Config().Version)
			c.Assert(len(w.told) > int(isolation/isolationChange)/2, qt.IsTrue)
			w.checkTold()
			assertUnbroken(c, w, uint64(i+1))
		})
	}
}

// publishNext proposes another configuration at the leader.
func (w *world) publishNext() {
	h := w.leader()
	if h == nil {
		w.breach("no leader to publish at")
		return
	}
	w.publishes++
	files := []conf.File{worldFile, {Name: "n", Text: fmt.Sprintf("[service]\nname = n%d\nprefix = /n\nkey = path:2\nslices = 1\n", w.publishes)}}
	id := fmt.Sprintf("20260102T150405.000Z-%06d", w.publishes)
	w.publish(h, id, h.group.state.Config().Version, files, func(table.PublishResult) {})
}

// hostNames returns the names of the control hosts but one.
func (w *world) hostNames(except string) (names []string) {
	for _, h := range w.hosts {
		if h.name != except {
			names = append(names, h.name)
		}
	}
	return names
}

// askFirst restarts an entry host that asks a given control host before others.
func (e *fakeEntry) askFirst(h *fakeHost) {
	e.start()
	for i, o := range e.world.hosts {
		if o == h {
			e.control = i
		}
	}
}
