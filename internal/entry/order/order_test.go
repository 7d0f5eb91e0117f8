package order

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestWorkNeverOutweighsPriority guards against short work of a less urgent route going before long work of a more urgent one.
func TestWorkNeverOutweighsPriority(t *testing.T) {
	for priority := range maxLevel {
		urgent := ValuePerWork(Class{Priority: priority, Work: time.Minute, Usual: time.Second})
		less := ValuePerWork(Class{Priority: priority + 1, Work: time.Millisecond, Usual: time.Second})
		qt.Check(t, urgent > less, qt.IsTrue)
	}
}

// TestRetryAfterIsHonest guards against callers that return within the time that they honour although there is no room for them.
func TestRetryAfterIsHonest(t *testing.T) {
	for _, at := range []float64{0, 0.5, 1} {
		qt.Check(t, RetryAfter(50*time.Millisecond, 400*time.Millisecond, 300*time.Millisecond, at) > 100*time.Millisecond, qt.IsTrue)
		qt.Check(t, RetryAfter(4*time.Second, 100*time.Millisecond, 3*time.Second, at) >= 4*time.Second, qt.IsTrue)
	}
	qt.Check(t, RetryAfter(time.Second, 0, 3*time.Second, 1) > RetryAfter(time.Second, 0, 3*time.Second, 0), qt.IsTrue)
}

// TestOneSampleChangesNoWork guards against a single slow response deciding about a route.
func TestOneSampleChangesNoWork(t *testing.T) {
	usual := 200 * time.Millisecond
	r := NewBook(&usual, Default()).Route(1, 0)
	r.Learn(time.Hour)
	qt.Check(t, r.Work(), qt.Equals, usual)
	for range 200 {
		r.Learn(time.Second)
	}
	qt.Check(t, r.Work() > 900*time.Millisecond && r.Work() < 1100*time.Millisecond, qt.IsTrue)
}

// TestIdleRoutesMakeRoom guards against routes of old configurations that take the places of new ones for as long as the scheduler runs,
// and against forgetting routes with requests.
func TestIdleRoutesMakeRoom(t *testing.T) {
	usual := 200 * time.Millisecond
	b := NewBook(&usual, Default())
	for id := range uint32(maxRoutes) {
		b.Route(id+1, 0).Arrive(0)
	}
	qt.Check(t, b.Route(maxRoutes+1, 0).Ordered(), qt.IsFalse)
	busy := b.Route(1, 0)
	busy.Arrive(time.Minute)
	busy.Score(time.Minute)
	qt.Check(t, b.Route(maxRoutes+1, 0).Ordered(), qt.IsTrue)
	qt.Check(t, b.Route(1, 0), qt.Equals, busy)
}

// TestTotalIsTheSumOfRoutes guards against a sum that differs from the counts of the routes, which would make routes short or not.
func TestTotalIsTheSumOfRoutes(t *testing.T) {
	usual := 200 * time.Millisecond
	rapid.Check(t, func(r *rapid.T) {
		b, now := NewBook(&usual, Default()), time.Duration(0)
		for range rapid.IntRange(0, 300).Draw(r, "requests") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(r, "pause")) * time.Millisecond
			v := b.Route(uint32(rapid.IntRange(0, 2*maxRoutes).Draw(r, "route")), 0)
			v.Arrive(now)
			v.Serve(now, usual)
		}
		sum := counts{at: now}
		for _, v := range b.routes {
			v.decay(now)
			sum.add(now, v.counts)
		}
		b.total.decay(now)
		for _, d := range []float64{sum.arrived - b.total.arrived, sum.served - b.total.served, sum.used - b.total.used} {
			if math.Abs(d) > 1e-6 {
				r.Fatalf("the sum is %v and the total %v", sum, b.total)
			}
		}
	})
}

type waiting struct {
	id     int
	target uint32
	route  uint32
	due    time.Duration
}

func (w *waiting) Times() (due, objective time.Duration) { return w.due, w.due }

// TestLinesAgreeWithASortedList guards against requests that are lost, repeated or out of order, and against a wrong number of
// requests ahead, by comparison with a sorted list under random steps.
func TestLinesAgreeWithASortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usual := 100 * time.Millisecond
		book := NewBook(&usual, Default())
		lines, now := NewLines[*waiting](), 500*time.Millisecond
		var list []*waiting
		route := func(w *waiting) *Route { return book.Route(w.route, int(w.route)) }
		late := func(w *waiting) int {
			if now+time.Duration(planMargin*float64(usual)) > w.due {
				return 1
			}
			return 0
		}
		for id := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(list) > 0 && rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				i := rapid.IntRange(0, len(list)-1).Draw(t, "which")
				lines.Remove(list[i].target, route(list[i]), list[i])
				list = slices.Delete(list, i, i+1)
				continue
			}
			w := &waiting{id: id, target: uint32(rapid.IntRange(0, 2).Draw(t, "target")), route: uint32(rapid.IntRange(1, 3).Draw(t, "route")),
				due: time.Duration(rapid.IntRange(0, 1200).Draw(t, "due")) * time.Millisecond}
			lines.Add(w.target, route(w), w)
			list = append(list, w)
		}
		compare := func(a, b *waiting) int {
			return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(a.route, b.route), cmp.Compare(a.due, b.due))
		}
		slices.SortStableFunc(list, compare)
		visited := map[*waiting]bool{}
		lines.Walk(now, lines.Targets(), false, func(w *waiting) bool {
			if visited[w] || compare(w, list[len(visited)]) != 0 {
				t.Fatalf("%v is out of order", w)
			}
			visited[w] = true
			before := 0
			for _, o := range list {
				if o != w && compare(o, w) <= 0 {
					before++
				}
			}
			if ahead, work := lines.Ahead(now, 0, route(w), w); ahead != before || work != time.Duration(before)*usual {
				t.Fatalf("%d ahead of %v instead of %d", ahead, w, before)
			}
			return true
		})
		if len(visited) != len(list) || lines.Len() != len(list) {
			t.Fatalf("%d of %d requests visited", len(visited), len(list))
		}
	})
}
