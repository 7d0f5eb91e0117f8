package table

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBadAnswersAreRefused(t *testing.T) {
	a := Announcement{Name: "u", Incarnation: 3, Sequence: 7}
	good := GrantResponse{Name: "u", Incarnation: 3, Sequence: 7, Status: GrantHeld, LeaseMillis: 1000,
		Grants: []Grant{{From: 0, To: 4, Fence: 1}, {From: 5, To: 9, Fence: 2}}}
	qt.Assert(t, good.Check(a), qt.IsNil)
	cases := []struct {
		name  string
		spoil func(*GrantResponse)
	}{
		{"another upstream", func(g *GrantResponse) { g.Name = "v" }},
		{"an earlier incarnation", func(g *GrantResponse) { g.Incarnation = 2 }},
		{"an earlier announcement", func(g *GrantResponse) { g.Sequence = 6 }},
		{"an unknown status", func(g *GrantResponse) { g.Status = "granted" }},
		{"no lease", func(g *GrantResponse) { g.LeaseMillis = 0 }},
		{"overlapping grants", func(g *GrantResponse) { g.Grants[1].From = 4 }},
		{"grants out of order", func(g *GrantResponse) { g.Grants[0], g.Grants[1] = g.Grants[1], g.Grants[0] }},
		{"a grant that ends before it starts", func(g *GrantResponse) { g.Grants[1].To = 1 }},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			g := good
			g.Grants = append([]Grant(nil), good.Grants...)
			v.spoil(&g)
			var bad *ErrBadResponse
			qt.Assert(t, g.Check(a), qt.ErrorAs, &bad)
		})
	}
}

func TestSureAgeIsLessThanWhatPassed(t *testing.T) {
	qt.Assert(t, Age(time.Second).Min() <= time.Second*95/105, qt.IsTrue)
	qt.Assert(t, Age(-time.Second).Min(), qt.Equals, time.Duration(0))
	list := []Announcement{{Name: "u", Age: Age(time.Second)}}
	qt.Assert(t, AddAge(list, time.Second)[0].Age, qt.Equals, Age(2*time.Second))
	qt.Assert(t, list[0].Age, qt.Equals, Age(time.Second))
}
