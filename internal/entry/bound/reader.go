package bound

import (
	"io"
	"math"

	"github.com/pkg/errors"
)

// Unlimited is the allowance for data that needs no limit because it is not kept in memory.
const Unlimited = math.MaxInt64

// MaxResponseHeader is the longest accepted header of an upstream's response, from the status line to the empty line, in bytes. A
// header of many short lines takes 26 times its size in memory while it is read, so that 200 slots with 16 KiB each stay below 90 MB.
const MaxResponseHeader = 16 << 10

// ErrLimit is returned when a peer sends more bytes than it is allowed.
var ErrLimit = errors.New("peer sent more bytes than allowed")

// Reader reads from a peer until its allowance of bytes is used up.
type Reader struct {
	source  io.Reader
	left    int64
	failure error
	// recorder records the head of the response that is being read, if the reader's user has started it.
	recorder Recorder
}

// NewReader returns a reader with an allowance of zero.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Allow sets how many more bytes may be read.
func (r *Reader) Allow(bytes int64) { r.left = bytes }

// Recorder returns the recorder of the bytes that are read.
func (r *Reader) Recorder() *Recorder { return &r.recorder }

// Failure returns the error that ended the last read from the peer, or nil.
func (r *Reader) Failure() error { return r.failure }

// Exhausted reports whether the allowance is used up.
func (r *Reader) Exhausted() bool { return r.left <= 0 }

// Read reads at most the rest of the allowance. It returns ErrLimit when the allowance is used up.
func (r *Reader) Read(b []byte) (n int, err error) {
	if r.Exhausted() {
		return 0, ErrLimit
	}
	if int64(len(b)) > r.left {
		b = b[:r.left]
	}
	n, err = r.source.Read(b)
	r.failure = err
	r.recorder.Add(b[:max(n, 0)])
	r.left -= int64(n)
	return n, err
}
