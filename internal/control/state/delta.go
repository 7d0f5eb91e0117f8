package state

import (
	"cmp"
	"maps"
	"slices"

	"ebonyrill.dev/ebonyrill/internal/shared/items"
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
	s.addJournal(&d)
	return d
}

// journalSince returns what changed after a version.
func (s *State) journalSince(version uint64) []journalEntry {
	first, _ := slices.BinarySearchFunc(s.journal, version+1, func(j journalEntry, v uint64) int { return cmp.Compare(j.version, v) })
	return s.journal[first:]
}

// addJournal adds what changed since the delta's start; each upstream and entry host appears once, as it is now.
func (s *State) addJournal(d *table.Delta) {
	upstreams, entries := map[uint32]bool{}, map[string]bool{}
	changed := map[items.Key]bool{}
	for _, j := range s.journalSince(d.From) {
		if j.changes.Service != "" {
			d.Tables = append(d.Tables, j.changes)
		}
		for _, number := range j.upstreams {
			upstreams[number] = true
		}
		for _, name := range j.entries {
			entries[name] = true
		}
		for _, k := range j.items {
			changed[k] = true
		}
	}
	d.Items = s.itemsForEntries(func(k items.Key) bool { return changed[k] })
	for _, number := range slices.Sorted(maps.Keys(upstreams)) {
		if u, ok := s.Upstream(number); ok {
			d.Upstreams = append(d.Upstreams, u)
		} else {
			d.RemovedUpstreams = append(d.RemovedUpstreams, number)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		if e, ok := s.Entry(name); ok {
			d.Entries = append(d.Entries, e)
		} else {
			d.RemovedEntries = append(d.RemovedEntries, name)
		}
	}
}

// ItemsChangedSince returns the configuration items, set or removed, that changed after a version, and whether the state remembers so
// far back; where it does not, a host at that version is sent everything.
func (s *State) ItemsChangedSince(version uint64) (keys []items.Key, known bool) {
	if version < s.journalFloor {
		return nil, false
	}
	changed := map[items.Key]bool{}
	for _, j := range s.journalSince(version) {
		for _, k := range j.items {
			if !changed[k] {
				changed[k] = true
				keys = append(keys, k)
			}
		}
	}
	return keys, true
}

func (s *State) fullDelta(d table.Delta) table.Delta {
	config := s.config
	d.Full, d.Config, d.Upstreams, d.Entries = true, &config, s.Upstreams(), s.Entries()
	d.Items = s.itemsForEntries(func(items.Key) bool { return true })
	for _, t := range s.tables {
		d.Tables = append(d.Tables, table.SliceChanges{Service: t.name, All: t.set.Slices()})
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
