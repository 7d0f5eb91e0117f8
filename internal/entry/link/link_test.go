package link

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ebonyrill.dev/ebonyrill/internal/shared/clock"
)

const testRate = 687_500 // bytes per second, 5.5 Mbit/s

// TestGauge checks that the queue of a link drains at its rate and that headers of packets count.
func TestGauge(t *testing.T) {
	c := qt.New(t)
	g := NewGauge(100_000)
	g.Add(0, 10*segmentSize)
	full := g.Delay(0)
	c.Check(full > 140*time.Millisecond, qt.IsTrue)
	c.Check(full-g.Delay(50*time.Millisecond) >= 49*time.Millisecond, qt.IsTrue)
	c.Check(g.Delay(time.Second), qt.Equals, time.Duration(0))
}

// TestAdmission guards against rejecting urgent requests before others, and against routing by an old table when the link is congested.
func TestAdmission(t *testing.T) {
	const objective = 800 * time.Millisecond
	cases := []struct {
		name     string
		load     Load
		priority int
		want     bool
	}{
		{"idle", NewLoad(0, 0.1, 0), 2, true},
		{"short queue, urgent", NewLoad(150*time.Millisecond, 0.5, 0), 0, true},
		{"short queue, less urgent", NewLoad(150*time.Millisecond, 0.5, 0), 1, false},
		{"long queue", NewLoad(300*time.Millisecond, 0.5, 0), 0, false},
		{"full, urgent", NewLoad(0, 1.1, 0), 0, true},
		{"full, less urgent", NewLoad(0, 1.1, 0), 2, false},
		{"control silent, congested", NewLoad(0, 0.9, 2*time.Second), 0, false},
		{"control silent, cut off", NewLoad(0, 0.2, time.Minute), 2, true},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			got := Admit(v.load, v.priority, objective, 0.5)
			qt.Assert(t, got.Admitted(), qt.Equals, v.want)
			qt.Assert(t, got.Admitted() || got.After() > 0, qt.IsTrue)
		})
	}
}

// TestUrgentGoFirst checks that a request is admitted whenever a less urgent one with the same objective is.
func TestUrgentGoFirst(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		load := NewLoad(time.Duration(rapid.IntRange(0, 400).Draw(r, "delay"))*time.Millisecond, rapid.Float64Range(0, 1.3).Draw(r, "received"), 0)
		draw, priority := rapid.Float64Range(0, 1).Draw(r, "draw"), rapid.IntRange(0, 3).Draw(r, "priority")
		if Admit(load, priority+1, time.Second, draw).Admitted() && !Admit(load, priority, time.Second, draw).Admitted() {
			r.Fatalf("priority %d is rejected and %d is not", priority, priority+1)
		}
	})
}

// TestReplayOfDownloadBurst replays a burst of downloads at two and a half times the link's rate, with small requests between them. It
// guards against downloads that fill the link's queue, and against downloads that start and do not finish in time.
func TestReplayOfDownloadBurst(t *testing.T) {
	const (
		size    = 90_000
		step    = time.Millisecond
		timeout = 4 * time.Second
	)
	c := qt.New(t)
	link, pacer, q := NewGauge(testRate), NewPacer(testRate), Queue{}
	type transfer struct {
		download *Download
		bytes    int
		next     time.Duration
	}
	var running []*transfer
	byDownload := map[*Download]*transfer{}
	longest, late, done, rejected := time.Duration(0), 0, 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += step {
		if now%(50*time.Millisecond) == 0 {
			link.Add(now, 1200)
		}
		if now%(52*time.Millisecond) == 0 && now < 5*time.Second {
			d := NewDownload(size, 160*time.Millisecond, now+2*time.Second, now+timeout)
			byDownload[d] = &transfer{download: d, bytes: size}
			if _, ok := q.Submit(now, d, pacer.Rate(now, link.Usage(now))); !ok {
				rejected++
			}
		}
		for _, d := range q.Start(now, pacer.Rate(now, link.Usage(now))) {
			byDownload[d].next = now + d.lead
			running = append(running, byDownload[d])
		}
		var left []*transfer
		for _, r := range running {
			for r.bytes > 0 && r.next <= now {
				n := min(blockSize, r.bytes)
				r.bytes -= n
				link.Add(now, n)
				q.Received(r.download, n)
				r.next = now + pacer.Reserve(now, n, link.Usage(now))
			}
			if r.bytes > 0 {
				left = append(left, r)
				continue
			}
			done++
			q.Finish(r.download)
			if now > r.download.expires {
				late++
			}
		}
		running = left
		longest = max(longest, link.Delay(now))
	}
	c.Check(late, qt.Equals, 0)
	c.Check(len(running)+q.Waiting(), qt.Equals, 0)
	c.Check(done+rejected, qt.Equals, len(byDownload))
	c.Check(done > 40, qt.IsTrue, qt.Commentf("%d done", done))                             // 5 s of the link carry 38, and those that wait at their end follow
	c.Check(longest < 125*time.Millisecond, qt.IsTrue, qt.Commentf("queue of %v", longest)) // a quarter of the objective of small requests
}

// TestStalledDownloads guards against callers that read slowly and keep the link from others.
func TestStalledDownloads(t *testing.T) {
	c := qt.New(t)
	q := Queue{}
	for range 8 {
		_, ok := q.Submit(0, NewDownload(90_000, 0, time.Second, time.Minute), testRate)
		c.Assert(ok, qt.IsTrue)
	}
	c.Check(len(q.Start(0, testRate)), qt.Equals, 3)
	c.Check(q.Start(500*time.Millisecond, testRate), qt.HasLen, 0)
	c.Check(len(q.Start(2*time.Second, testRate)), qt.Equals, 3)
}

// TestTransfer checks that a download is read completely, that its size is learnt, and that a waiting one ends with its caller.
func TestTransfer(t *testing.T) {
	c := qt.New(t)
	l := New(10_000_000, clock.Boot)
	begin := func(ctx context.Context) (*Transfer, error) {
		return l.Begin(context.Background(), ctx, "r", clock.Boot()+time.Second, clock.Boot()+time.Minute)
	}
	first, err := begin(context.Background())
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(first.Body(strings.NewReader(strings.Repeat("x", 100_000))))
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.HasLen, 100_000)
	first.Finish(true)
	size, _ := l.sizes.of("r")
	c.Check(size > initialSize, qt.IsTrue)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	var transfers []*Transfer
	for range 100 { // more than the window holds
		if waiting, err := begin(ended); err == nil {
			transfers = append(transfers, waiting)
		}
	}
	for _, v := range transfers {
		v.Finish(false)
	}
	c.Check(l.queue.Waiting(), qt.Equals, 0)
	c.Check(l.queue.outstanding, qt.Equals, 0.0)
}

// TestDownloadStartsAfterStalledOnes guards against downloads that wait until their callers leave, because the ones before them stall and
// nothing else happens on the link.
func TestDownloadStartsAfterStalledOnes(t *testing.T) {
	c := qt.New(t)
	l := New(testRate/8, clock.Boot)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 2 {
		v, err := l.Begin(ctx, ctx, "r", 0, clock.Boot()+time.Minute)
		c.Assert(err, qt.IsNil)
		defer v.Finish(false)
	}
}
