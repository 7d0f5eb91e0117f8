package bound

import (
	"io"
	"math"

	"github.com/pkg/errors"
)

// Unlimited is the allowance of what needs no limit, as what is read is not kept.
const Unlimited = math.MaxInt64

// MaxResponseHeader is the longest head of an upstream's answer, from its status line to the empty line, in bytes. A head of many
// short lines takes 26 times its size while it is read; 16 KiB on each slot of 200 stay below 90 MB.
const MaxResponseHeader = 16 << 10

// ErrLimit is the cause when a peer sends more bytes than it may.
var ErrLimit = errors.New("more bytes than allowed")

// Reader reads from a peer until its allowance is used up.
type Reader struct {
	from io.Reader
	left int64
}

// NewReader returns a reader without an allowance.
func NewReader(from io.Reader) *Reader { return &Reader{from: from} }

// Allow sets how many bytes may be read from now on.
func (r *Reader) Allow(bytes int64) { r.left = bytes }

// Exhausted reports whether the allowance is used up.
func (r *Reader) Exhausted() bool { return r.left <= 0 }

// Read reads at most what is left of the allowance.
func (r *Reader) Read(b []byte) (n int, err error) {
	if r.Exhausted() {
		return 0, ErrLimit
	}
	if int64(len(b)) > r.left {
		b = b[:r.left]
	}
	n, err = r.from.Read(b)
	r.left -= int64(n)
	return n, err
}
