package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of buffered lines.
const (
	maxBuffered  = 2048                   // lines; bounds the memory used while the output is blocked
	writeBatch   = 64 << 10               // bytes; a write of at least this size takes no further lines
	flushTimeout = 200 * time.Millisecond // longest time that Sync, and so a shutdown, waits for lines to be written
)

// writer writes lines in the background, so that a blocked output never blocks the process. Lines that do not fit into the
// buffer are dropped and counted.
type writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	flush   chan chan struct{}
}

func newWriter(to io.Writer) *writer {
	return &writer{to: to, lines: make(chan []byte, maxBuffered), flush: make(chan chan struct{})}
}

// Write buffers one line, or drops it if the buffer is full.
func (w *writer) Write(line []byte) (n int, err error) {
	w.once.Do(func() { go w.run() })
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the buffered lines are written, at most flushTimeout.
func (w *writer) Sync() error {
	w.once.Do(func() { go w.run() })
	done := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case w.flush <- done:
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
		case done := <-w.flush:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			close(done)
		}
	}
}

// write writes a line together with the buffered ones. Lines that cannot be written are counted as dropped, as the failure
// cannot be logged.
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
