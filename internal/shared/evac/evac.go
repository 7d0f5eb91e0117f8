package evac

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Limits of the number of records, which are part of every snapshot.
const (
	// maxOut is the number of data centres that can be out of service at once.
	maxOut = 1024
	// maxEnded is the number of data centres back in service whose record is kept.
	maxEnded = 64
)

// Record is whether a data centre is out of service, by whose call and since when. At is a Unix time in milliseconds, Version the log
// index of the call.
type Record struct {
	DataCentre string `cbor:"1,keyasint" json:"dataCentre"`
	Out        bool   `cbor:"2,keyasint,omitempty" json:"out"`
	By         string `cbor:"3,keyasint,omitempty" json:"by,omitempty"`
	At         int64  `cbor:"4,keyasint,omitempty" json:"at"`
	Version    uint64 `cbor:"5,keyasint,omitempty" json:"version"`
}

// ErrTooMany is returned when no more data centres can be taken out of service.
type ErrTooMany struct{}

// Error returns the message.
func (e *ErrTooMany) Error() string {
	return fmt.Sprintf("%d data centres are out of service, which is the limit", maxOut)
}

// Set holds one record for each data centre that is out of service or came back lately. It is immutable.
type Set struct {
	records map[string]Record
}

// NewSet returns a set of records.
func NewSet(records []Record) *Set {
	s := &Set{records: make(map[string]Record, len(records))}
	for _, r := range records {
		s.records[r.DataCentre] = r
	}
	return s
}

// Out reports whether a data centre is out of service.
func (s *Set) Out(dataCentre string) bool { return s.records[dataCentre].Out }

// Empty reports whether there are no records.
func (s *Set) Empty() bool { return len(s.records) == 0 }

// Get returns the record of a data centre; one without a record is in service.
func (s *Set) Get(dataCentre string) Record {
	r := s.records[dataCentre]
	r.DataCentre = dataCentre
	return r
}

// All returns all records, ordered by data centre.
func (s *Set) All() []Record {
	return slices.SortedFunc(maps.Values(s.records), func(a, b Record) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

// ListOut returns the records of the data centres out of service, ordered by data centre.
func (s *Set) ListOut() []Record {
	return slices.DeleteFunc(s.All(), func(r Record) bool { return !r.Out })
}

// Change returns the set after a call, and whether that changed anything: a repeated call does not, so that the first record stays.
func (s *Set) Change(r Record) (next *Set, changed bool, err error) {
	if s.Out(r.DataCentre) == r.Out {
		return s, false, nil
	}
	if r.Out && len(s.ListOut()) >= maxOut {
		return s, false, &ErrTooMany{}
	}
	next = s.With([]Record{r})
	next.trim()
	return next, true, nil
}

// With returns the set with the records replaced by newer ones.
func (s *Set) With(records []Record) *Set {
	next := &Set{records: maps.Clone(s.records)}
	for _, r := range records {
		next.records[r.DataCentre] = r
	}
	return next
}

// trim drops the oldest records of data centres in service if there are too many.
func (s *Set) trim() {
	ended := slices.DeleteFunc(s.All(), func(r Record) bool { return r.Out })
	slices.SortFunc(ended, func(a, b Record) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range ended[:max(len(ended)-maxEnded, 0)] {
		delete(s.records, r.DataCentre)
	}
}
