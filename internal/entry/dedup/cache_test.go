package dedup

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// clock is a fake clock; a test sets its time.
type clock struct {
	now time.Time
}

func newTestCache(t *testing.T) (*qt.C, *Cache, *clock) {
	k := &clock{now: time.Unix(1000, 0)}
	return qt.New(t), New(func() time.Time { return k.now }), k
}

func TestStatuses(t *testing.T) {
	const window = time.Minute
	c, cache, k := newTestCache(t)
	long, now := k.now.Add(-2*window), k.now
	cases := []struct {
		name   string
		since  time.Time
		resend Resend
		want   Status
	}{
		{"first attempt at a new host", now, FirstAttempt, Accepted},
		{"resend at a new host", now, Resent, Ambiguous},
		{"unnumbered at a new host", now, Unspecified, Ambiguous},
		{"resend at a host that was home for longer than the window", long, Resent, Accepted},
		{"unnumbered at a host that was home for longer than the window", long, Unspecified, Accepted},
	}
	for i, v := range cases {
		c.Run(v.name, func(c *qt.C) {
			s, _ := cache.Begin(NewID("s", fmt.Sprint(i)), window, v.since, v.resend)
			c.Assert(s, qt.Equals, v.want)
		})
	}
}

func TestOutcomeIsKeptForWindow(t *testing.T) {
	c, cache, k := newTestCache(t)
	id := NewID("s", "1")
	_, r := cache.Begin(id, time.Minute, time.Time{}, Unspecified)
	cache.End(r, NewResponse(200, nil, []byte("x"), "done"))
	k.now = k.now.Add(59 * time.Second)
	s, again := cache.Begin(id, time.Minute, time.Time{}, Resent)
	c.Assert(s, qt.Equals, Duplicate)
	c.Assert(string(again.Response().Body()), qt.Equals, "x")
	k.now = k.now.Add(2 * time.Second)
	s, _ = cache.Begin(id, time.Minute, time.Time{}, Unspecified)
	c.Assert(s, qt.Equals, Accepted)
	c.Assert(cache.Len(), qt.Equals, 1)
}

func TestDiscardedRequestMayRunAgain(t *testing.T) {
	c, cache, _ := newTestCache(t)
	id := NewID("s", "1")
	_, r := cache.Begin(id, time.Minute, time.Time{}, Unspecified)
	cache.Discard(r, Response{})
	s, _ := cache.Begin(id, time.Minute, time.Time{}, Resent)
	c.Assert(s, qt.Equals, Accepted)
}

func TestMemoryIsBounded(t *testing.T) {
	c, cache, _ := newTestCache(t)
	for i := range 1200 {
		_, r := cache.Begin(NewID("s", fmt.Sprint(i)), time.Minute, time.Time{}, Unspecified)
		cache.End(r, NewResponse(200, nil, make([]byte, maxResponseBytes), "done"))
	}
	c.Assert(cache.bytes <= maxKeptBytes, qt.IsTrue)
	_, r := cache.Begin(NewID("s", "0"), time.Minute, time.Time{}, Unspecified)
	c.Assert(r.Response().Outcome(), qt.Equals, "done")
	c.Assert(r.Response().Kept(), qt.IsFalse)
	c.Assert(NewResponse(200, nil, make([]byte, maxResponseBytes+1), "done").Kept(), qt.IsFalse)
}
