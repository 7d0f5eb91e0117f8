package table

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/evac"
)

// TestEvacuatedOf guards against requests that look through all upstreams for those out of service, and against a list that is not that of
// the present upstreams and data centres.
func TestEvacuatedOf(t *testing.T) {
	c, v := qt.New(t), NewView()
	apply := func(d Delta) {
		d.From, d.To = v.Version(), v.Version()+1
		next, err := v.Apply(d)
		c.Assert(err, qt.IsNil)
		v = next
	}
	check := func(all bool, numbers ...uint32) {
		c.Helper()
		c.Check(v.EvacuatedOf("s"), qt.DeepEquals, numbers)
		c.Check(v.AllEvacuated("s"), qt.Equals, all)
	}
	check(false)
	apply(Delta{Full: true})
	apply(Delta{Evacuations: []evac.Record{{DataCentre: "x", Out: true}}})
	check(false)
	apply(Delta{Upstreams: []Upstream{{Number: 3, Service: "s", DataCentre: "x"}}})
	check(true, 3)
	apply(Delta{Upstreams: []Upstream{{Number: 4, Service: "s", DataCentre: "y"}, {Number: 5, Service: "s", DataCentre: "x"}}})
	check(false, 3, 5)
	c.Check(testing.AllocsPerRun(10, func() { v.EvacuatedOf("s") }), qt.Equals, 0.0)
	apply(Delta{RemovedUpstreams: []uint32{3}})
	check(false, 5)
	apply(Delta{Evacuations: []evac.Record{{DataCentre: "x"}}})
	check(false)
	apply(Delta{Full: true, Upstreams: []Upstream{{Number: 4, Service: "s", DataCentre: "y"}},
		Evacuations: []evac.Record{{DataCentre: "y", Out: true}}})
	check(true, 4)
}
