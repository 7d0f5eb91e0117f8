package state

import (
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// DeltaSince returns what an entry host at the version lacks; a digest that does not match asks for everything.
func (s *State) DeltaSince(version, digest uint64) (d table.Delta) {
	d = table.Delta{From: version, To: s.version, Digest: s.Digest()}
	if version > s.version || version < s.journalFloor || version == 0 || (version == s.version && digest != d.Digest) {
		return s.fullDelta(d)
	}
	if s.config.Version > version {
		config := s.config
		d.Config = &config
	}
	if s.upstreamsAt > version {
		d.Upstreams = s.Upstreams()
	}
	if s.entriesAt > version {
		d.Entries = s.Entries()
	}
	for _, j := range s.journal {
		if j.version > version {
			d.Tables = append(d.Tables, j.changes)
		}
	}
	return d
}

func (s *State) fullDelta(d table.Delta) table.Delta {
	config := s.config
	d.Full, d.Config, d.Upstreams, d.Entries = true, &config, s.Upstreams(), s.Entries()
	for _, t := range s.tables {
		d.Tables = append(d.Tables, table.TableChanges{Service: t.name, Whole: t.set.Slices()})
	}
	return d
}

// Digest returns a checksum over all services' slices.
func (s *State) Digest() uint64 {
	if s.digestAt == s.version {
		return s.digest
	}
	var sum uint64
	for _, t := range s.tables {
		sum += table.ServiceDigest(t.name, t.set)
	}
	s.digest, s.digestAt = sum, s.version
	return sum
}
