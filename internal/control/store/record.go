package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
)

// recordKind tells what a record of the log file carries.
type recordKind uint8

const (
	recordSnapshot recordKind = iota + 1
	recordBatch
)

// Sizes of a record: length (4 bytes), checksum (4 bytes), kind (1 byte), payload.
const (
	recordHeaderBytes = 9
	maxRecordBytes    = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(to []byte, kind recordKind, payload []byte) []byte {
	var header [recordHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	header[8] = byte(kind)
	sum := crc32.Update(0, castagnoli, header[0:4])
	sum = crc32.Update(sum, castagnoli, header[8:])
	sum = crc32.Update(sum, castagnoli, payload)
	binary.LittleEndian.PutUint32(header[4:], sum)
	return append(append(to, header[:]...), payload...)
}

// record is one decoded record and its size in the file.
type record struct {
	kind    recordKind
	payload []byte
	size    int
}

// decodeRecord returns the record at the start of the data, or false where no whole valid one stands there.
func decodeRecord(data []byte) (r record, ok bool) {
	if len(data) < recordHeaderBytes {
		return record{}, false
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > maxRecordBytes || len(data) < recordHeaderBytes+length {
		return record{}, false
	}
	payload := data[recordHeaderBytes : recordHeaderBytes+length]
	sum := crc32.Update(0, castagnoli, data[0:4])
	sum = crc32.Update(sum, castagnoli, data[8:9])
	sum = crc32.Update(sum, castagnoli, payload)
	if sum != binary.LittleEndian.Uint32(data[4:]) {
		return record{}, false
	}
	return record{kind: recordKind(data[8]), payload: payload, size: recordHeaderBytes + length}, true
}

// wholeRecordBehind reports whether any valid record starts after the first byte, which tells corruption in the
// middle from a torn tail.
func wholeRecordBehind(data []byte) bool {
	for i := 1; i < len(data); i++ {
		if r, ok := decodeRecord(data[i:]); ok && r.kind == recordBatch {
			return true
		}
	}
	return false
}

// batch is what one Save writes; it is one record, so that a crash leaves all of it or nothing.
type batch struct {
	Hard    *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries []raft.Entry    `cbor:"2,keyasint,omitempty"`
}

func encodeBatch(b batch) (encoded []byte, err error) {
	payload, err := cbor.Marshal(b)
	if err != nil {
		return nil, err
	}
	return appendRecord(nil, recordBatch, payload), nil
}
