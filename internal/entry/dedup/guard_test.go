package dedup

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// clock is a time that a test sets.
type clock struct {
	now time.Time
}

func mustGuard(t *testing.T) (*qt.C, *Cache, *clock) {
	k := &clock{now: time.Unix(1000, 0)}
	return qt.New(t), New(func() time.Time { return k.now }), k
}

func TestStandings(t *testing.T) {
	const window = time.Minute
	c, g, k := mustGuard(t)
	long, now := k.now.Add(-2*window), k.now
	cases := []struct {
		name   string
		since  time.Time
		resend Resend
		want   Status
	}{
		{"first sending at a new host", now, FirstAttempt, Accepted},
		{"resend at a new host", now, Resent, Ambiguous},
		{"unnumbered at a new host", now, Unspecified, Ambiguous},
		{"resend at a host asked for longer than the window", long, Resent, Accepted},
		{"unnumbered at a host asked for longer than the window", long, Unspecified, Accepted},
	}
	for i, v := range cases {
		c.Run(v.name, func(c *qt.C) {
			s, _ := g.Begin(NewID("s", fmt.Sprint(i)), window, v.since, v.resend)
			c.Assert(s, qt.Equals, v.want)
		})
	}
}

func TestOutcomeIsKeptForTheWindow(t *testing.T) {
	c, g, k := mustGuard(t)
	id := NewID("s", "1")
	_, r := g.Begin(id, time.Minute, time.Time{}, Unspecified)
	g.End(r, NewResponse(200, nil, []byte("x"), "done"))
	k.now = k.now.Add(59 * time.Second)
	s, again := g.Begin(id, time.Minute, time.Time{}, Resent)
	c.Assert(s, qt.Equals, Duplicate)
	c.Assert(string(again.Response().Body()), qt.Equals, "x")
	k.now = k.now.Add(2 * time.Second)
	s, _ = g.Begin(id, time.Minute, time.Time{}, Unspecified)
	c.Assert(s, qt.Equals, Accepted)
	c.Assert(g.Len(), qt.Equals, 1)
}

func TestVoidedRequestMayRunAgain(t *testing.T) {
	c, g, _ := mustGuard(t)
	id := NewID("s", "1")
	_, r := g.Begin(id, time.Minute, time.Time{}, Unspecified)
	g.Discard(r, Response{})
	s, _ := g.Begin(id, time.Minute, time.Time{}, Resent)
	c.Assert(s, qt.Equals, Accepted)
}

func TestMemoryIsBounded(t *testing.T) {
	c, g, _ := mustGuard(t)
	for i := range 1200 {
		_, r := g.Begin(NewID("s", fmt.Sprint(i)), time.Minute, time.Time{}, Unspecified)
		g.End(r, NewResponse(200, nil, make([]byte, maxAnswerBytes), "done"))
	}
	c.Assert(g.bytes <= maxKeptBytes, qt.IsTrue)
	_, r := g.Begin(NewID("s", "0"), time.Minute, time.Time{}, Unspecified)
	c.Assert(r.Response().Outcome(), qt.Equals, "done")
	c.Assert(r.Response().Kept(), qt.IsFalse)
	c.Assert(NewResponse(200, nil, make([]byte, maxAnswerBytes+1), "done").Kept(), qt.IsFalse)
}
