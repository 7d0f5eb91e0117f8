package bound

import (
	"bytes"
	"io"
)

// Sizes in bytes. A caller that states a large length and sends no more than the first block does not make this host allocate it.
const (
	firstBlock = 32 << 10
	smallBlock = 512
	largeBlock = 32 << 10
	// growth is the divisor of a body's size so far that gives the size of its next block, so that at most that part is not used.
	growth = 4
)

// Body is a request body in the blocks in which it was read. The zero value is an empty body.
type Body struct {
	blocks [][]byte
	size   int64
}

// NewBody returns a body of one block.
func NewBody(b []byte) Body { return Body{blocks: [][]byte{b}, size: int64(len(b))} }

// Len returns the length in bytes.
func (b Body) Len() int64 { return b.size }

// NewReader returns a reader of the body from its start.
func (b Body) NewReader() io.Reader {
	readers := make([]io.Reader, len(b.blocks))
	for i, block := range b.blocks {
		readers[i] = bytes.NewReader(block)
	}
	return io.MultiReader(readers...)
}

// WriteTo writes the body block by block.
func (b Body) WriteTo(w io.Writer) (n int64, err error) {
	for _, block := range b.blocks {
		m, err := w.Write(block)
		n += int64(m)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (b *Body) add(block []byte) {
	if len(block) > 0 {
		b.blocks, b.size = append(b.blocks, block), b.size+int64(len(block))
	}
}

// ReadBody reads a body whose length is stated, or negative if it is unknown, up to one byte more than the limit, and reports whether the
// body is within the limit. The first read may wait until the body is admitted; only then is the memory of a body of known length
// allocated, all at once.
func ReadBody(from io.Reader, length, limit int64) (body Body, within bool, err error) {
	if length >= 0 {
		body, err = readSized(from, min(length, limit+1))
	} else {
		body, err = readBlocks(io.LimitReader(from, limit+1))
	}
	return body, body.Len() <= limit, err
}

func readSized(from io.Reader, length int64) (body Body, err error) {
	for _, size := range []int64{min(length, firstBlock), length - min(length, firstBlock)} {
		block := make([]byte, size)
		n, err := io.ReadFull(from, block)
		body.add(block[:n])
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

func readBlocks(from io.Reader) (body Body, err error) {
	for err == nil {
		block := make([]byte, min(max(body.size/growth, smallBlock), largeBlock))
		n := 0
		for n < len(block) && err == nil {
			var m int
			m, err = from.Read(block[n:])
			n += m
		}
		body.add(block[:n])
	}
	if err == io.EOF {
		err = nil
	}
	return body, err
}
