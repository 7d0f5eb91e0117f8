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

// blockedOutput is an output that blocks writes while its mutex is locked.
type blockedOutput struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(b)
}

// TestBlockedOutputDropsLines checks that writes to a blocked output do not block, and that lines are dropped and counted once
// the buffer is full.
func TestBlockedOutputDropsLines(t *testing.T) {
	c := qt.New(t)
	out := &blockedOutput{}
	w := newWriter(out)
	line := []byte(strings.Repeat("x", writeBatch/maxBuffered*4) + "\n") // long enough that one batch cannot take the lines that exceed the buffer
	out.mutex.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxBuffered {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writer blocked for 10 s while its output was blocked")
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
	c.Assert(int64(written)+w.dropped.Load(), qt.Equals, int64(3*maxBuffered))
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

// TestLinesAreBounded checks that one event cannot flood the log, and that more lines of failures than of successes are
// written.
func TestLinesAreBounded(t *testing.T) {
	c := qt.New(t)
	var out blockedOutput
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

// BenchmarkBlockedOutput measures the cost of a line while the output is blocked.
func BenchmarkBlockedOutput(b *testing.B) {
	out := &blockedOutput{}
	out.mutex.Lock()
	defer out.mutex.Unlock()
	w := newWriter(out)
	line := []byte(strings.Repeat("x", 300))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
