package evac

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func mustChange(c *qt.C, s *Set, dataCentre string, out bool, version uint64) (next *Set, changed bool) {
	c.Helper()
	next, changed, err := s.Change(Record{DataCentre: dataCentre, Out: out, Version: version})
	c.Assert(err, qt.IsNil)
	return next, changed
}

// TestLimits guards against a set that grows without bound, and against a limit that drops a data centre out of service.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	s, version := NewSet(nil), uint64(0)
	for i := range maxEnded + 5 {
		version++
		s, _ = mustChange(c, s, fmt.Sprint("x", i), true, version)
	}
	for i := range maxEnded + 5 {
		version++
		s, _ = mustChange(c, s, fmt.Sprint("x", i), false, version)
	}
	c.Check(s.All(), qt.HasLen, maxEnded)
	for i := range maxOut {
		version++
		s, _ = mustChange(c, s, fmt.Sprint(i), true, version)
	}
	c.Check(s.ListOut(), qt.HasLen, maxOut)
	_, _, err := s.Change(Record{DataCentre: "more", Out: true})
	c.Check(err, qt.ErrorMatches, "1024 data centres.*")
	_, _, err = s.Change(Record{DataCentre: "0", Out: true})
	c.Check(err, qt.IsNil, qt.Commentf("a call that was accepted before"))
}
