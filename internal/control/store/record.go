package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
)

// recordKind is the type of a record's payload.
type recordKind uint8

const (
	recordSnapshot recordKind = iota + 1
	recordBatch
)

// A record consists of the payload's length (4 bytes), a CRC-32C checksum (4 bytes), the kind (1 byte) and the payload.
const (
	recordHeaderBytes = 9
	maxRecordBytes    = 64 << 20 // limit of the payload's length
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

// record is a decoded record; size is its length in the file, in bytes.
type record struct {
	kind    recordKind
	payload []byte
	size    int
}

// decodeRecord returns the record at the start of the data, or false if there is no complete, valid one.
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

// hasLaterRecord reports whether a valid batch record starts after the first byte. If so, the data is corrupt; if not, its start
// may be a record that a crash left incomplete at the end of the log.
func hasLaterRecord(data []byte) bool {
	for i := 1; i < len(data); i++ {
		if r, ok := decodeRecord(data[i:]); ok && r.kind == recordBatch {
			return true
		}
	}
	return false
}

// batch is what one Save writes. It is a single record, so that after a crash all of it is in the log or none.
type batch struct {
	HardState *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []raft.Entry    `cbor:"2,keyasint,omitempty"`
}

func encodeBatch(b batch) (encoded []byte, err error) {
	payload, err := cbor.Marshal(b)
	if err != nil {
		return nil, err
	}
	return appendRecord(nil, recordBatch, payload), nil
}
