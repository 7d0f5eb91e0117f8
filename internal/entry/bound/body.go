package bound

import "io"

// Sizes in bytes. A caller that states a large length and sends no more than the first block does not make this host allocate it.
const (
	firstBlock = 32 << 10
	blockSize  = 64 << 10 // of the blocks in which a body of unknown length is read
)

// ReadBody reads a body whose length is stated, or negative if it is unknown, up to one byte more than the limit, and reports whether the
// body is within the limit. The first read may wait until the body is admitted; only then is its memory allocated, all at once, as a
// buffer that grows leaves garbage of the same size behind.
func ReadBody(from io.Reader, length, limit int64) (body []byte, within bool, err error) {
	if length >= 0 {
		body, err = readSized(from, min(length, limit+1))
	} else {
		body, err = readBlocks(io.LimitReader(from, limit+1))
	}
	return body, int64(len(body)) <= limit, err
}

func readSized(from io.Reader, length int64) (body []byte, err error) {
	first := make([]byte, min(length, firstBlock))
	n, err := io.ReadFull(from, first)
	if err != nil || int64(n) == length {
		return first[:n], err
	}
	body = make([]byte, length)
	copy(body, first)
	m, err := io.ReadFull(from, body[n:])
	return body[:n+m], err
}

// readBlocks reads to the end and joins the blocks then; both exist at that moment.
func readBlocks(from io.Reader) (body []byte, err error) {
	var blocks [][]byte
	size, n := 0, 0
	block := make([]byte, 512)
	for {
		var m int
		m, err = from.Read(block[n:])
		n, size = n+m, size+m
		if err != nil {
			blocks = append(blocks, block[:n])
			break
		}
		if n == len(block) {
			blocks = append(blocks, block)
			block, n = make([]byte, min(blockSize, 2*len(block))), 0
		}
	}
	if err == io.EOF {
		err = nil
	}
	body = make([]byte, 0, size)
	for i, b := range blocks {
		body = append(body, b...)
		blocks[i] = nil
	}
	return body, err
}
