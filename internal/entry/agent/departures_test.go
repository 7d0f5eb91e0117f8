package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// TestDeparturesAreReportedUntilTheTableShowsThem checks that a report is repeated, also while the upstream is not in the table, and
// ends once the table shows it as leaving or it is too old.
func TestDeparturesAreReportedUntilTheTableShowsThem(t *testing.T) {
	c := qt.New(t)
	view := func(list ...table.Upstream) *table.View {
		v, err := table.NewView().Apply(table.Delta{To: 1, Full: true, Upstreams: list})
		c.Assert(err, qt.IsNil)
		return v
	}
	var d departures
	now := time.Unix(1000, 0)
	c.Check(d.pending(now, view()), qt.HasLen, 0)
	a := table.Upstream{Number: 1, Name: "a", Incarnation: 1}
	b := table.Upstream{Number: 2, Name: "b", Incarnation: 1}
	d.add(now, a.Process())
	d.add(now, b.Process())
	for range 2 {
		c.Check(d.pending(now, view(a)), qt.DeepEquals, []table.Process{a.Process(), b.Process()})
	}
	a.Leaving = true
	c.Check(d.pending(now, view(a)), qt.DeepEquals, []table.Process{b.Process()})
	c.Check(d.pending(now.Add(departureRetention+time.Second), view()), qt.HasLen, 0)
}
