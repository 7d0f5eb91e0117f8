package state

import (
	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// image is the encoded form of a state.
type image struct {
	Index        uint64                `cbor:"1,keyasint"`
	Version      uint64                `cbor:"2,keyasint"`
	Config       table.Config          `cbor:"3,keyasint"`
	Outcomes     []table.PublishResult `cbor:"4,keyasint"`
	OutcomeFloor string                `cbor:"5,keyasint"`
	Upstreams    []table.Upstream      `cbor:"6,keyasint"`
	NextNumber   uint32                `cbor:"7,keyasint"`
	Drained      []string              `cbor:"8,keyasint"`
	Seen         []seenName            `cbor:"9,keyasint"`
	Entries      []table.EntryHost     `cbor:"10,keyasint"`
	Tables       []table.SliceChanges  `cbor:"11,keyasint"`
	Items        []items.Item          `cbor:"12,keyasint,omitempty"`
}

// Encode returns the state as a snapshot carries it.
func (s *State) Encode() ([]byte, error) {
	m := image{Index: s.index, Version: s.version, Config: s.config, Outcomes: s.outcomes, OutcomeFloor: s.outcomeFloor,
		Upstreams: s.upstreams, NextNumber: s.nextNumber, Drained: s.drained, Seen: s.seen, Entries: s.entries, Items: s.items.All()}
	for _, t := range s.tables {
		m.Tables = append(m.Tables, table.SliceChanges{Service: t.name, All: t.set.Slices()})
	}
	return wire.Marshal(m)
}

// Decode restores a state; no data is the empty state.
func Decode(data []byte) (s *State, err error) {
	defer func() { err = errors.WithMessage(err, "decode state") }()
	if len(data) == 0 {
		return New(), nil
	}
	var m image
	if err = wire.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	s = &State{index: m.Index, version: m.Version, config: m.Config, outcomes: m.Outcomes, outcomeFloor: m.OutcomeFloor,
		upstreams: m.Upstreams, nextNumber: m.NextNumber, drained: m.Drained, seen: m.Seen, entries: m.Entries,
		journalFloor: m.Version, items: items.FromItems(m.Items)}
	s.indexNames()
	s.listKeyed()
	if s.services, err = conf.ParseSet(m.Config.Files); err != nil {
		return nil, err
	}
	for _, t := range m.Tables {
		set, err := slice.FromSlices(t.All)
		if err != nil {
			return nil, err
		}
		s.tables = append(s.tables, serviceTable{name: t.Service, set: set, changedAt: m.Index, shapedAt: m.Index})
	}
	return s, nil
}
