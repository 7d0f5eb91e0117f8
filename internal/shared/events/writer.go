package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of what waits to be written.
const (
	maxWaiting = 2048                   // lines; a reader that stands still costs no more memory than these
	writeBatch = 64 << 10               // bytes written at a time
	flushPause = 200 * time.Millisecond // longest time that a stop waits for lines to be written
)

// writer writes lines in the background: a reader that stands still never blocks the process, and what finds no room is
// counted.
type writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	idle    chan chan struct{}
}

func newWriter(to io.Writer) *writer {
	return &writer{to: to, lines: make(chan []byte, maxWaiting), idle: make(chan chan struct{})}
}

// Write takes one line in, or drops it where too many wait.
func (w *writer) Write(line []byte) (n int, err error) {
	w.once.Do(func() { go w.run() })
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until what was taken in is written, or a moment has passed.
func (w *writer) Sync() error {
	w.once.Do(func() { go w.run() })
	done := make(chan struct{})
	timeout := time.After(flushPause)
	select {
	case w.idle <- done:
	case <-timeout:
		return nil
	}
	select {
	case <-done:
	case <-timeout:
	}
	return nil
}

func (w *writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case done := <-w.idle:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			close(done)
		}
	}
}

// write writes a line with those that wait behind it. Nobody can be told of a line that cannot be written; it is counted.
func (w *writer) write(line []byte) {
	n := int64(1)
	for len(w.lines) > 0 && len(line) < writeBatch {
		line = append(line, <-w.lines...)
		n++
	}
	if _, err := w.to.Write(line); err != nil {
		w.dropped.Add(n)
	}
}
