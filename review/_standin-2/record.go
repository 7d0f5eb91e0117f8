package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
	began  time.Time
}

func newRecord(path string) (r *record, err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, writer: bufio.NewWriter(f), began: time.Now()}, nil
}

// write adds a line with the time since the start in seconds.
func (r *record) write(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%9.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.writer, format, values...)
	fmt.Fprintln(r.writer)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
