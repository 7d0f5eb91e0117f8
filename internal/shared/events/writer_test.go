package events

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// stuck is a reader that stands still until it is let go.
type stuck struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.Write(b)
}

// TestReaderThatStandsStillBlocksNobody holds that lines are dropped and counted once too many wait.
func TestReaderThatStandsStillBlocksNobody(t *testing.T) {
	c := qt.New(t)
	out := &stuck{}
	w := newWriter(out)
	line := []byte(strings.Repeat("x", writeBatch/maxWaiting*4) + "\n") // no batch holds what finds no room
	out.mutex.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxWaiting {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the writer blocks")
	}
	c.Assert(w.dropped.Load() > 0, qt.IsTrue)
	out.mutex.Unlock()
	for deadline := time.Now().Add(10 * time.Second); len(w.lines) > 0 && time.Now().Before(deadline); {
		c.Assert(w.Sync(), qt.IsNil)
	}
	c.Assert(w.Sync(), qt.IsNil)
	out.mutex.Lock()
	defer out.mutex.Unlock()
	written := strings.Count(out.text.String(), string(line))
	c.Assert(int64(written)+w.dropped.Load(), qt.Equals, int64(3*maxWaiting))
}

func TestLimit(t *testing.T) {
	c := qt.New(t)
	l := newLimit(10, 5)
	now := time.Unix(0, 0)
	written := 0
	for range 100 {
		if ok, _ := l.allow(now); ok {
			written++
		}
	}
	c.Assert(written, qt.Equals, 5)
	ok, skipped := l.allow(now.Add(time.Second))
	c.Assert(ok, qt.IsTrue)
	c.Assert(skipped, qt.Equals, int64(95))
}

// TestLinesAreBounded holds that one event cannot fill the log, that the first line behind a gap tells how many are missing,
// and that failures are kept longer than successes.
func TestLinesAreBounded(t *testing.T) {
	c := qt.New(t)
	var out stuck
	l, err := newLog(&out, "info", "", "h")
	c.Assert(err, qt.IsNil)
	for range 1000 {
		l.Write(RequestAnswered, zap.String("id", "x"))
		l.Write(RequestFailed, zap.String("id", "x"))
	}
	l.Sync()
	out.mutex.Lock()
	defer out.mutex.Unlock()
	counts := map[int]int{}
	decoder := json.NewDecoder(&out.text)
	for {
		var line struct {
			Event int `json:"event"`
		}
		if err = decoder.Decode(&line); err == io.EOF {
			break
		}
		c.Assert(err, qt.IsNil)
		counts[line.Event]++
	}
	c.Check(counts[RequestAnswered.Number()] < 60, qt.IsTrue)
	c.Check(counts[RequestFailed.Number()] >= failureBurst && counts[RequestFailed.Number()] < 400, qt.IsTrue)
}

// BenchmarkStuckReader measures what a line costs while nobody reads.
func BenchmarkStuckReader(b *testing.B) {
	out := &stuck{}
	out.mutex.Lock()
	defer out.mutex.Unlock()
	w := newWriter(out)
	line := []byte(strings.Repeat("x", 300))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
