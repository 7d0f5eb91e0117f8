package group

import (
	"fmt"
	"math/rand/v2"
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

// fixedSeeds is the number of seeds in a normal test run; make soak runs more.
const fixedSeeds = 24

// soakSeeds returns the first seed and the number of seeds, which EBONYRILL_SEED and EBONYRILL_SOAK_SEEDS can set.
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

// assertNoViolations fails the test if a guarantee was broken, and prints the violations and the command that repeats the test.
func assertNoViolations(c *qt.C, w *world, seed uint64) {
	c.Helper()
	c.Assert(w.violations, qt.HasLen, 0, qt.Commentf("repeat with EBONYRILL_SEED=%d go test -run '%s' ./internal/control/group", seed, c.Name()))
}

// injectFault injects one random fault and schedules its repair.
func (w *world) injectFault() {
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
		entry.generation++
		w.in("operator", length, entry.start)
	case 5:
		up.generation++
		w.in("operator", length/2, up.start)
	case 6:
		w.cut(host.name, w.nodeNames(host.name), true, w.random.IntN(2) == 0)
		w.in("operator", length, w.heal)
	case 7:
		w.cut(entry.name, w.nodeNames(entry.name), w.random.IntN(2) == 0, true)
		w.in("operator", length, w.heal)
	case 8:
		up.leaving = !up.leaving
	}
}

// nodeNames returns the names of all control hosts but one and of all entry hosts.
func (w *world) nodeNames(except string) (names []string) {
	for _, h := range w.hosts {
		names = append(names, h.name)
	}
	for _, e := range w.entries {
		names = append(names, e.name)
	}
	return names
}

// injectFaults injects faults until the given time, often two at once.
func (w *world) injectFaults(until time.Duration) {
	w.in("operator", time.Duration(200+w.random.IntN(1500))*time.Millisecond, func() {
		for range 1 + w.random.IntN(2) {
			w.injectFault()
		}
		if w.now < until {
			w.injectFaults(until)
		}
	})
}

// publishLoop publishes and retries at random times until the given time; sometimes two operators publish from the same base.
func (w *world) publishLoop(until time.Duration) {
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
			w.publishLoop(until)
		}
	})
}

// healAll ends all network faults and starts the hosts that are down.
func (w *world) healAll() {
	w.heal()
	w.loss, w.duplication = 0, 0
	for _, h := range w.hosts {
		if h.down {
			h.start()
		}
	}
}

// TestSoakOwnership injects random faults under load and checks that no key is served by two owners at once, that no acknowledged publish
// is lost, and that the evacuations that were acknowledged are in force.
func TestSoakOwnership(t *testing.T) {
	first, count := soakSeeds()
	var served, acknowledged atomic.Int64
	t.Cleanup(func() {
		t.Logf("seeds %d to %d: %d effects on keys, %d outcomes acknowledged", first, first+count-1, served.Load(), acknowledged.Load())
	})
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			hosts := 3 + 2*int(seed%2)
			w := newWorld(worldOptions{seed: seed, hosts: hosts, entries: 3, checked: 2 + int(seed%3), unchecked: int(seed % 4)})
			w.place("away", 2)
			w.run(2 * time.Second)
			first := w.leader()
			c.Assert(first, qt.IsNotNil)
			w.publish(first, "20260102T150405.000Z-start", 0, []conf.File{worldFile}, func(table.PublishResult) {})
			w.loss, w.duplication = 0.02, 0.02
			w.load(22 * time.Second)
			w.injectFaults(20 * time.Second)
			w.publishLoop(20 * time.Second)
			w.evacuationLoop(rand.New(rand.NewPCG(seed, 7)), 20*time.Second)
			w.run(22 * time.Second)
			w.healAll()
			w.run(30 * time.Second)
			w.checkAcknowledged()
			w.checkEvacuations()
			assertNoViolations(c, w, seed)
			served.Add(int64(w.served))
			acknowledged.Add(int64(len(w.acknowledged)))
		})
	}
}

// TestSoakRepair replaces lost disks under load and checks that no acknowledged publish is lost.
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
			w.publishLoop(16 * time.Second)
			for range 2 {
				w.run(w.now + 3*time.Second)
				replaceDisk(c, w)
			}
			w.healAll()
			w.run(w.now + 6*time.Second)
			w.checkAcknowledged()
			assertNoViolations(c, w, seed)
		})
	}
}

// replaceDisk loses a host's disk and replaces the host by a new replica at the same address. As soon as status reports full
// redundancy, a second host crashes; the group must elect a leader without it.
func replaceDisk(c *qt.C, w *world) {
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
	w.checkAcknowledged()
	second.start()
}
