package state

import (
	"maps"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/evac"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Index        uint64                `cbor:"1,keyasint"`
	Version      uint64                `cbor:"2,keyasint"`
	Config       table.Config          `cbor:"3,keyasint"`
	Outcomes     []table.PublishResult `cbor:"4,keyasint"`
	OutcomeFloor string                `cbor:"5,keyasint"`
	Upstreams    []table.Upstream      `cbor:"6,keyasint"`
	NextNumber   uint32                `cbor:"7,keyasint"`
	Drained      []string              `cbor:"8,keyasint"`
	Incarnations []knownIncarnation    `cbor:"9,keyasint"`
	Entries      []table.EntryHost     `cbor:"10,keyasint"`
	Tables       []table.SliceChanges  `cbor:"11,keyasint"`
	Items        []items.Item          `cbor:"12,keyasint,omitempty"`
	MoveReports  []moveReports         `cbor:"13,keyasint,omitempty"`
	Evacuations  []evac.Record         `cbor:"14,keyasint,omitempty"`
}

// moveReports is the encoded form of sliceTable.reports of one service.
type moveReports struct {
	Service   string            `cbor:"1,keyasint"`
	Sequences map[uint64]uint64 `cbor:"2,keyasint"`
}

// Encode returns the encoding of the state in a snapshot.
func (s *State) Encode() ([]byte, error) {
	m := snapshot{Index: s.index, Version: s.version, Config: s.config, Outcomes: s.outcomes, OutcomeFloor: s.outcomeFloor,
		Upstreams: s.upstreams, NextNumber: s.nextNumber, Drained: s.drained, Incarnations: s.incarnations, Entries: s.entries,
		Items: s.items.All(), Evacuations: s.evacuations.All()}
	for _, t := range s.tables {
		m.Tables = append(m.Tables, table.SliceChanges{Service: t.name, All: t.set.Slices()})
		if len(t.reports) > 0 {
			m.MoveReports = append(m.MoveReports, moveReports{Service: t.name, Sequences: t.reports})
		}
	}
	return wire.Marshal(m)
}

// Decode returns the state of an encoded snapshot. Empty data stands for the empty state.
func Decode(data []byte) (s *State, err error) {
	defer func() { err = errors.WithMessage(err, "decode state") }()
	if len(data) == 0 {
		return New(), nil
	}
	var m snapshot
	if err = wire.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	s = &State{index: m.Index, version: m.Version, config: m.Config, outcomes: m.Outcomes, outcomeFloor: m.OutcomeFloor,
		upstreams: m.Upstreams, nextNumber: m.NextNumber, drained: m.Drained, incarnations: m.Incarnations, entries: m.Entries,
		journalFloor: m.Version, items: items.FromItems(m.Items), evacuations: evac.NewSet(m.Evacuations)}
	s.rebuildNameIndexes()
	s.rebuildItemServices()
	if s.services, err = conf.ParseSet(m.Config.Files); err != nil {
		return nil, err
	}
	for _, t := range m.Tables {
		set, err := slice.FromSlices(t.All)
		if err != nil {
			return nil, err
		}
		s.tables = append(s.tables, newSliceTable(t.Service, set, m.Index))
	}
	for _, r := range m.MoveReports {
		if t := s.table(r.Service); t != nil {
			maps.Copy(t.reports, r.Sequences)
		}
	}
	return s, nil
}
