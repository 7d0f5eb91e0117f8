package state

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// TestEvacuationsReachViews guards against an evacuation that is lost in a delta or a snapshot, and against calls that do not take effect
// in the order of their commits.
func TestEvacuationsReachViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, view, want := newHarness(), table.NewView(), map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "name"))
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				data, _ := h.state.Encode()
				restored, err := Decode(data)
				if err != nil {
					t.Fatal(err)
				}
				h.state = restored
			case 1:
				h.mustApply(t, join(name, h.index+1))
			case 2:
				view = h.mustSync(t, view)
			default:
				out := rapid.Bool().Draw(t, "out")
				r := h.mustApply(t, Command{Evacuate: &Evacuate{DataCentre: name, Out: out}})
				if (r.Changed == 1) != (want[name] != out) {
					t.Fatalf("call changed %d records", r.Changed)
				}
				want[name] = out
			}
		}
		view = h.mustSync(t, view)
		full, err := table.NewView().Apply(h.state.DeltaSince(0, 0))
		if err != nil {
			t.Fatal(err)
		}
		for i := range 4 {
			name := fmt.Sprint("z", i)
			if h.state.Evacuations().Out(name) != want[name] || view.Evacuated(name) != want[name] || full.Evacuated(name) != want[name] {
				t.Fatalf("%s: want out %v", name, want[name])
			}
		}
	})
}

// TestDelayedEvacuation guards against a call that was delayed on its way to the leader and undoes a later one.
func TestDelayedEvacuation(t *testing.T) {
	c, h := qt.New(t), newHarness()
	h.mustApply(t, join("u", 1))
	known := h.state.Index()
	call := func(out bool, known uint64) Result {
		return h.mustApply(t, Command{Evacuate: &Evacuate{DataCentre: "z", Out: out, Known: known}})
	}
	c.Check(call(true, known).Changed, qt.Equals, 1)
	c.Check(call(true, known), qt.Equals, Result{}, qt.Commentf("a repeated call"))
	c.Check(call(false, 0).Changed, qt.Equals, 1)
	c.Check(call(true, known).Outdated, qt.IsTrue)
	c.Check(h.state.Evacuations().Out("z"), qt.IsFalse)
	c.Check(call(true, h.state.Index()).Changed, qt.Equals, 1)
}

// TestRepeatedEvacuation guards against a repeated call that wakes all entry hosts, or that hides who made the first.
func TestRepeatedEvacuation(t *testing.T) {
	c, h := qt.New(t), newHarness()
	h.mustApply(t, Command{Evacuate: &Evacuate{DataCentre: "z", Out: true, By: "first", At: 7}})
	version := h.state.Version()
	h.mustApply(t, Command{Evacuate: &Evacuate{DataCentre: "z", Out: true, By: "second", At: 8}})
	c.Check(h.state.Version(), qt.Equals, version)
	c.Check(h.state.Evacuations().Get("z").By, qt.Equals, "first")
	c.Check(h.state.Evacuations().Get("z").At, qt.Equals, int64(7))
}
