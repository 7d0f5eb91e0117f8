package admit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

const forever = time.Hour

// TestQueueAgainstNaive holds the queue against counters under random offers, releases and cancels.
func TestQueueAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, limit := rapid.IntRange(1, 6).Draw(t, "slots"), rapid.IntRange(0, 10).Draw(t, "limit")
		q := NewQueue(slots, limit)
		busy, now := 0, time.Duration(0)
		waiting := map[*Request]bool{}
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "step")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				ticket := NewRequest(conf.Class(rapid.IntRange(0, 2).Draw(t, "class")), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller")),
					now+time.Duration(rapid.IntRange(0, 200).Draw(t, "left"))*time.Millisecond, nil)
				verdict, displaced := q.Submit(now, ticket)
				if displaced != nil {
					if !waiting[displaced] || displaced.class < ticket.class {
						t.Fatal("displaced a request that does not wait or is more urgent")
					}
					delete(waiting, displaced)
				}
				if verdict == Admitted {
					busy++
				}
				if verdict == Queued {
					waiting[ticket] = true
				}
			case 2:
				if busy == 0 {
					continue
				}
				busy--
				next, late := q.Release(now, 5*time.Millisecond)
				for _, l := range late {
					delete(waiting, l)
				}
				if next != nil {
					if !waiting[next] || next.deadline < now {
						t.Fatal("started a request that does not wait or is late")
					}
					for other := range waiting {
						if other.class < next.class {
							t.Fatal("a less urgent request went first")
						}
					}
					delete(waiting, next)
					busy++
				}
			case 3:
				for ticket := range waiting {
					if !q.Cancel(ticket) {
						t.Fatal("a waiting request was not found")
					}
					delete(waiting, ticket)
					break
				}
			}
			if q.Busy() != busy || busy > slots || q.Waiting() != len(waiting) || len(waiting) > limit {
				t.Fatalf("busy %d of %d, want %d; waiting %d of %d, want %d", q.Busy(), slots, busy, q.Waiting(), limit, len(waiting))
			}
		}
	})
}

func TestCallersTakeTurns(t *testing.T) {
	c := qt.New(t)
	q := NewQueue(1, 100)
	q.Submit(0, NewRequest(conf.ClassNormal, "first", forever, nil))
	for range 50 {
		q.Submit(0, NewRequest(conf.ClassNormal, "greedy", forever, nil))
	}
	for range 5 {
		q.Submit(0, NewRequest(conf.ClassNormal, "modest", forever, nil))
	}
	served := map[string]int{}
	for range 10 {
		next, _ := q.Release(0, 0)
		served[next.caller]++
	}
	c.Assert(served, qt.DeepEquals, map[string]int{"greedy": 5, "modest": 5})
}

func TestFullQueueMakesRoomForTheUrgentAndTheModest(t *testing.T) {
	c := qt.New(t)
	q := NewQueue(1, 3)
	q.Submit(0, NewRequest(conf.ClassNormal, "x", forever, nil))
	batch := NewRequest(conf.ClassBatch, "x", forever, nil)
	q.Submit(0, batch)
	for range 2 {
		q.Submit(0, NewRequest(conf.ClassNormal, "greedy", forever, nil))
	}
	verdict, displaced := q.Submit(0, NewRequest(conf.ClassUrgent, "x", forever, nil))
	c.Assert(verdict, qt.Equals, Queued)
	c.Assert(displaced, qt.Equals, batch)
	verdict, displaced = q.Submit(0, NewRequest(conf.ClassNormal, "greedy", forever, nil))
	c.Assert(verdict, qt.Equals, Shed)
	c.Assert(displaced, qt.IsNil)
	_, displaced = q.Submit(0, NewRequest(conf.ClassNormal, "modest", forever, nil))
	c.Assert(displaced, qt.IsNotNil)
	c.Assert(displaced.caller, qt.Equals, "greedy")
}

func TestHopelessRequestIsShedAtOnce(t *testing.T) {
	c := qt.New(t)
	q := NewQueue(1, 1000)
	q.Submit(0, NewRequest(conf.ClassNormal, "x", forever, nil))
	for range 100 {
		q.Submit(0, NewRequest(conf.ClassNormal, "y", forever, nil))
	}
	verdict, _ := q.Submit(0, NewRequest(conf.ClassNormal, "y", 50*time.Millisecond, nil))
	c.Assert(verdict, qt.Equals, Shed)
	verdict, _ = q.Submit(0, NewRequest(conf.ClassUrgent, "y", 50*time.Millisecond, nil))
	c.Assert(verdict, qt.Equals, Queued)
}

func TestGateNeverExceedsItsSlots(t *testing.T) {
	c := qt.New(t)
	g := NewLimiter(3, 1000)
	var mutex sync.Mutex
	var wait sync.WaitGroup
	running, most := 0, 0
	for i := range 200 {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			if i%7 == 0 {
				cancel()
			}
			leave, err := g.Acquire(ctx, conf.ClassNormal, fmt.Sprint(i%5))
			if err != nil {
				return
			}
			mutex.Lock()
			running++
			most = max(most, running)
			mutex.Unlock()
			time.Sleep(100 * time.Microsecond)
			mutex.Lock()
			running--
			mutex.Unlock()
			leave()
			leave()
		})
	}
	wait.Wait()
	busy, waiting := g.Load()
	c.Assert(most <= 3, qt.IsTrue)
	c.Assert([]int{busy, waiting}, qt.DeepEquals, []int{0, 0})
}

func BenchmarkGate(b *testing.B) {
	g := NewLimiter(3, 100)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		leave, _ := g.Acquire(ctx, conf.ClassNormal, "caller")
		leave()
	}
}

// TestSlowRequestsAreNoOvertaking queues requests before it is known how long they take. That they wait longer than first
// thought must not make the queue turn away later ones that can be served in time.
func TestSlowRequestsAreNoOvertaking(t *testing.T) {
	const took, deadline = 100 * time.Millisecond, 1800 * time.Millisecond
	q := NewQueue(1, 200)
	now := time.Duration(0)
	offer := func() {
		v, _ := q.Submit(now, NewRequest(conf.ClassNormal, "c", now+deadline, nil))
		qt.Assert(t, v, qt.Not(qt.Equals), Shed, qt.Commentf("at %v with %d waiting", now, q.Waiting()))
	}
	for range 17 {
		offer()
	}
	for q.Busy() > 0 {
		now += took
		q.Release(now, took)
	}
	for range 5 {
		offer()
	}
}
