package group

import (
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// fixedSeeds is how many seeds the test run tries; make soak tries more.
const fixedSeeds = 24

func soakSeeds() (first, count uint64) {
	if one := os.Getenv("EBONYRILL_SEED"); one != "" {
		n, _ := strconv.ParseUint(one, 10, 64)
		return n, 1
	}
	if n, err := strconv.ParseUint(os.Getenv("EBONYRILL_SOAK_SEEDS"), 10, 64); err == nil {
		return 1, n
	}
	return 1, fixedSeeds
}

// assertUnbroken fails the test with every breach and the command that repeats it.
func assertUnbroken(c *qt.C, w *world, seed uint64) {
	c.Helper()
	c.Assert(w.broken, qt.HasLen, 0, qt.Commentf("repeat with EBONYRILL_SEED=%d go test -run '%s' ./internal/control/group", seed, c.Name()))
}

// disturb lets one thing go wrong and mends it later.
func (w *world) disturb() {
	length := time.Duration(100+w.random.IntN(4000)) * time.Millisecond
	host := w.hosts[w.random.IntN(len(w.hosts))]
	if leader := w.leader(); leader != nil && w.random.IntN(2) == 0 {
		host = leader
	}
	entry := w.entries[w.random.IntN(len(w.entries))]
	up := w.upstreams[w.random.IntN(len(w.upstreams))]
	switch w.random.IntN(9) {
	case 0:
		w.pause(host.name, length)
	case 1:
		w.pause(entry.name, length)
	case 2:
		w.pause(up.name, length)
	case 3:
		host.dropSends = true
		w.in("operator", length, func() {
			if host.down {
				host.start()
			}
		})
	case 4:
		entry.life++
		w.in("operator", length, entry.start)
	case 5:
		up.life++
		w.in("operator", length/2, up.start)
	case 6:
		w.cut(host.name, w.names(host.name), true, w.random.IntN(2) == 0)
		w.in("operator", length, w.heal)
	case 7:
		w.cut(entry.name, w.names(entry.name), w.random.IntN(2) == 0, true)
		w.in("operator", length, w.heal)
	case 8:
		up.leaving = !up.leaving
	}
}

func (w *world) names(except string) (names []string) {
	for _, h := range w.hosts {
		names = append(names, h.name)
	}
	for _, e := range w.entries {
		names = append(names, e.name)
	}
	return names
}

// disturbFor lets things go wrong until a time, often two at once.
func (w *world) disturbFor(until time.Duration) {
	w.in("operator", time.Duration(200+w.random.IntN(1500))*time.Millisecond, func() {
		for range 1 + w.random.IntN(2) {
			w.disturb()
		}
		if w.now < until {
			w.disturbFor(until)
		}
	})
}

// operate lets two operators publish from the same base now and then, and resend.
func (w *world) operate(until time.Duration) {
	w.in("operator", time.Duration(500+w.random.IntN(1500))*time.Millisecond, func() {
		if h := w.leader(); h != nil {
			base := h.group.state.Config().Version
			for k := range 1 + w.random.IntN(2) {
				w.publishes++
				id := fmt.Sprintf("20260102T150405.000Z-%06d", w.publishes)
				files := []conf.File{worldFile, {Name: "n", Text: fmt.Sprintf("[service]\nname = n%d\nprefix = /n%d\nkey = path:2\nslices = 1\n", w.publishes, k)}}
				w.publish(h, id, base, files, func(table.PublishResult) {})
				w.in("operator", time.Duration(w.random.IntN(3000))*time.Millisecond, func() {
					if again := w.leader(); again != nil {
						w.publish(again, id, base, files, func(table.PublishResult) {})
					}
				})
			}
		}
		if w.now < until {
			w.operate(until)
		}
	})
}

// calm mends everything and starts what is down.
func (w *world) calm() {
	w.heal()
	w.loss, w.twice = 0, 0
	for _, h := range w.hosts {
		if h.down {
			h.start()
		}
	}
}

func TestSoakOwnership(t *testing.T) {
	first, count := soakSeeds()
	var served, told atomic.Int64
	t.Cleanup(func() {
		t.Logf("seeds %d to %d: %d effects on keys, %d outcomes told", first, first+count-1, served.Load(), told.Load())
	})
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			hosts := 3 + 2*int(seed%2)
			w := newWorld(worldOptions{seed: seed, hosts: hosts, entries: 3, checked: 2 + int(seed%3), blind: int(seed % 4)})
			w.run(2 * time.Second)
			first := w.leader()
			c.Assert(first, qt.IsNotNil)
			w.publish(first, "20260102T150405.000Z-start", 0, []conf.File{worldFile}, func(table.PublishResult) {})
			w.loss, w.twice = 0.02, 0.02
			w.load(22 * time.Second)
			w.disturbFor(20 * time.Second)
			w.operate(20 * time.Second)
			w.run(22 * time.Second)
			w.calm()
			w.run(30 * time.Second)
			w.checkTold()
			assertUnbroken(c, w, seed)
			served.Add(int64(w.served))
			told.Add(int64(len(w.told)))
		})
	}
}

func TestSoakRepair(t *testing.T) {
	first, count := soakSeeds()
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newWorld(worldOptions{seed: seed, hosts: 3 + 2*int(seed%2), entries: 2, checked: 2})
			w.loss = 0.01
			w.run(2 * time.Second)
			c.Assert(w.leader(), qt.IsNotNil)
			w.publish(w.leader(), "20260102T150405.000Z-start", 0, []conf.File{worldFile}, func(table.PublishResult) {})
			w.load(30 * time.Second)
			w.operate(16 * time.Second)
			for range 2 {
				w.run(w.now + 3*time.Second)
				replaceOne(c, w)
			}
			w.calm()
			w.run(w.now + 6*time.Second)
			w.checkTold()
			assertUnbroken(c, w, seed)
		})
	}
}

// replaceOne takes a host's disk, brings it back as a new replica under its address, and the moment the repair is
// reported complete loses a second host for good.
func replaceOne(c *qt.C, w *world) {
	c.Helper()
	victim := w.hosts[w.random.IntN(len(w.hosts))]
	old := victim.disk.id
	victim.loseDisk()
	victim.start()
	added := raft.Replica{ID: victim.disk.id, Address: victim.name, DataCentre: "dc"}
	steps := []oper.MembersRequest{{Action: oper.AddLearner}, {Action: oper.Promote, ID: uint64(added.ID)}, {Action: oper.Remove, ID: uint64(old)}}
	for _, r := range steps {
		var err error
		for range 200 {
			if err = w.changeMembers(r, added); err == nil {
				break
			}
			w.run(w.now + 50*time.Millisecond)
		}
		c.Assert(err, qt.IsNil, qt.Commentf("step %s", r.Action))
	}
	redundant := false
	for range 200 {
		if h := w.leader(); h != nil {
			answer := &oper.StatusResponse{}
			h.group.statusMembers(answer)
			if redundant = answer.FullRedundancy; redundant {
				break
			}
		}
		w.run(w.now + 20*time.Millisecond)
	}
	c.Assert(redundant, qt.IsTrue)
	second := w.hosts[w.random.IntN(len(w.hosts))]
	second.crash()
	w.run(w.now + 3*time.Second)
	c.Assert(w.leader(), qt.IsNotNil, qt.Commentf("no leader after the second loss"))
	w.checkTold()
	second.start()
}
