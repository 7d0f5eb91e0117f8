package burn

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

var at = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// answersOf returns the counts of two hosts: good ones all the time and bad ones in the last minutes.
func answersOf(good, bad, badMinutes int) (answers []oper.BurnResponse) {
	for _, host := range []string{"a", "b"} {
		book := NewCounters()
		for m := 90; m >= 0; m-- {
			when := at.Add(-time.Duration(m) * time.Minute)
			for range good {
				book.Add("s", when, Good)
			}
			for i := 0; i < bad && m < badMinutes; i++ {
				book.Add("s", when, Category(1+i%4))
			}
		}
		answers = append(answers, oper.BurnResponse{Host: host, Services: []oper.BurnSeries{book.Series("s", 0.99, time.Second)}})
	}
	return answers
}

func lineOf(v View, window string) Line {
	for _, l := range v.Lines {
		if l.Window == window {
			return l
		}
	}
	return Line{}
}

func TestRatesAndAlerts(t *testing.T) {
	cases := []struct {
		name            string
		good, bad, mins int
		fiveMinutes     float64
		alert           string
	}{
		{"nothing bad", 100, 0, 0, 0, "none"},
		{"a short spike", 100, 100, 2, 100 * 200.0 / 700, "none"},
		{"long and heavy", 100, 100, 60, 50, "fast"},
		{"long and light", 100, 10, 91, 100.0 / 11, "slow"},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			view := NewReport(at, answersOf(v.good, v.bad, v.mins), nil).View()
			got := lineOf(view, "5m")
			c.Assert(got.BurnRate > v.fiveMinutes-0.01 && got.BurnRate < v.fiveMinutes+0.01, qt.IsTrue, qt.Commentf("%v", got.BurnRate))
			c.Assert(got.Alert, qt.Equals, v.alert)
			c.Assert(lineOf(view, "1h").Requests, qt.Equals, int64(2*60*v.good+2*v.bad*min(v.mins, 60)))
		})
	}
}

func TestPageStandsAlone(t *testing.T) {
	c := qt.New(t)
	page, err := NewReport(at, answersOf(50, 20, 61), []string{"c"}).HTML()
	c.Assert(err, qt.IsNil)
	text := string(page)
	for _, want := range []string{"viewport", "<svg", `class="moved"`, "alert: fast", "Not counted: c"} {
		c.Check(text, qt.Contains, want)
	}
	c.Assert(strings.Contains(text, "http"), qt.IsFalse)
}

func TestOldStepsMakeRoom(t *testing.T) {
	c := qt.New(t)
	b := NewCounters()
	b.Add("s", at.Add(-80*time.Hour), Slow)
	b.Add("s", at, Good)
	s := b.Series("s", 0.9, time.Second)
	c.Assert(s.Steps, qt.HasLen, keptMinutes)
	c.Assert(s.Steps[keptMinutes-1].Good, qt.Equals, int64(1))
}
