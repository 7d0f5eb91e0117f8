package bound

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

func textOf(length int) string { return strings.Repeat("abcdefg", length/7+1)[:length] }

// TestBodyOfKnownLength guards against bodies that are read too far or too short, and against buffers larger than the body.
func TestBodyOfKnownLength(t *testing.T) {
	for _, length := range []int{1, firstBlock - 1, firstBlock, firstBlock + 1, 5*firstBlock + 7} {
		text := textOf(length)
		body, within, err := ReadBody(strings.NewReader(text+"behind"), int64(length), int64(length))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, within, qt.IsTrue)
		qt.Check(t, string(body) == text, qt.IsTrue)
		qt.Check(t, cap(body), qt.Equals, length)
		_, _, err = ReadBody(strings.NewReader(text[:length-1]), int64(length), int64(length))
		qt.Check(t, err, qt.Not(qt.IsNil))
	}
}

// TestBodyOfUnknownLength guards against a truncated body that is taken for a complete one, and against bodies over the limit.
func TestBodyOfUnknownLength(t *testing.T) {
	for _, length := range []int{0, 1, 512, 513, blockSize, 3*blockSize + 5} {
		text := textOf(length)
		body, within, err := ReadBody(strings.NewReader(text), -1, int64(length))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, within, qt.IsTrue)
		qt.Check(t, string(body) == text, qt.IsTrue)
		_, within, _ = ReadBody(strings.NewReader(text+"x"), -1, int64(length))
		qt.Check(t, within, qt.IsFalse)
		truncated := io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF))
		_, _, err = ReadBody(truncated, -1, int64(length+1))
		qt.Check(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
	}
}
