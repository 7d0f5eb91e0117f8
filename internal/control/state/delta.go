package state

import (
	"cmp"
	"maps"
	"slices"

	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// DeltaSince returns the changes that an entry host at the given version lacks. It returns the full state if the host has
// none yet (version 0), if its version is newer than this state, if it has the current version with another digest, or if the
// journal does not reach back to its version.
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

// journalSince returns the journal entries after a version.
func (s *State) journalSince(version uint64) []journalEntry {
	first, _ := slices.BinarySearchFunc(s.journal, version+1, func(j journalEntry, v uint64) int { return cmp.Compare(j.version, v) })
	return s.journal[first:]
}

// addJournal adds the changes since d.From. Each changed upstream, entry host and item is added once, in its current form.
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
	d.Evacuations = s.evacuationsSince(d.From)
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

// ItemsChangedSince returns the configuration items that were set or removed after a version. If the journal does not reach back
// to that version, known is false, and a host at that version is sent the full state.
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

// fullDelta returns the delta with the full state added.
func (s *State) fullDelta(d table.Delta) table.Delta {
	config := s.config
	d.Full, d.Config, d.Upstreams, d.Entries = true, &config, s.Upstreams(), s.Entries()
	d.Items = s.itemsForEntries(func(items.Key) bool { return true })
	d.Evacuations = s.evacuations.ListOut()
	for _, t := range s.tables {
		d.Tables = append(d.Tables, table.SliceChanges{Service: t.name, All: t.set.Slices()})
	}
	return d
}

// Digest returns a checksum over the slices of all services.
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
