package table

import (
	"cmp"
	"maps"
	"slices"

	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Home returns the entry host that queues for the upstream.
func (v *View) Home(number uint32) (home EntryHost, ok bool) {
	home, ok = v.homes[number]
	return home, ok
}

// Homes assigns each upstream its home, one of a set of entry hosts.
type Homes struct {
	entries []EntryHost
	hashes  []uint64
}

// NewHomes returns an assignment over the entry hosts.
func NewHomes(entries []EntryHost) Homes {
	h := Homes{entries: entries, hashes: make([]uint64, len(entries))}
	for i, e := range entries {
		h.hashes[i] = slice.HashKey(e.Name)
	}
	return h
}

// Len returns the number of entry hosts.
func (h Homes) Len() int { return len(h.entries) }

// Of returns the home of an upstream: the entry host with the highest score of rendezvous hashing, preferably in the
// upstream's own data centre. An upstream with an excluded home gets an alternate home, preferably in another data centre,
// so that its health is not judged over the same network again; the excluded host is used only if there is no other.
func (h Homes) Of(u Upstream) (home EntryHost, ok bool) {
	name := slice.HashKey(u.Name)
	best, bestRank, bestScore := -1, 0, uint64(0)
	for i := range h.entries {
		rank := rankOf(h.entries[i], u)
		score := slice.Mix(h.hashes[i] ^ name)
		if best < 0 || rank > bestRank || rank == bestRank && score > bestScore {
			best, bestRank, bestScore = i, rank, score
		}
	}
	if best < 0 {
		return EntryHost{}, false
	}
	return h.entries[best], true
}

// rankOf returns how well an entry host is suited as an upstream's home; higher is better.
func rankOf(e EntryHost, u Upstream) int {
	switch {
	case e.Name == u.ExcludedHome:
		return 0
	case (e.DataCentre == u.DataCentre) == (u.ExcludedHome == ""):
		return 2
	}
	return 1
}

// applyHosts applies the upstreams and entry hosts of a delta and updates the homes that these change.
func (v *View) applyHosts(d Delta) {
	if d.Full {
		v.upstreams, v.entries = map[uint32]Upstream{}, nil
	}
	if d.Full || len(d.Upstreams)+len(d.RemovedUpstreams) > 0 {
		v.applyUpstreams(d)
	}
	if len(d.Entries)+len(d.RemovedEntries) > 0 {
		v.entries = mergeEntries(v.entries, d)
	}
	v.updateHomes(d)
}

func (v *View) applyUpstreams(d Delta) {
	v.upstreams, v.byService = maps.Clone(v.upstreams), maps.Clone(v.byService)
	if d.Full {
		v.byService = map[string][]Upstream{}
	}
	var changed []string
	remove := func(number uint32) {
		if u, ok := v.upstreams[number]; ok {
			changed = append(changed, u.Service)
			delete(v.upstreams, number)
		}
	}
	for _, number := range d.RemovedUpstreams {
		remove(number)
	}
	for _, u := range d.Upstreams {
		remove(u.Number)
		v.upstreams[u.Number] = u
		changed = append(changed, u.Service)
	}
	slices.Sort(changed)
	for _, service := range slices.Compact(changed) {
		v.listService(service, d.Upstreams)
	}
	v.unchecked = false
	for _, u := range v.upstreams {
		v.unchecked = v.unchecked || !u.ChecksFence
	}
}

// listService updates the list of a service's upstreams after upstreams were set or removed.
func (v *View) listService(service string, set []Upstream) {
	var list []Upstream
	for _, u := range v.byService[service] {
		if current, ok := v.upstreams[u.Number]; ok && current == u {
			list = append(list, u)
		}
	}
	for _, u := range set {
		if u.Service == service && v.upstreams[u.Number] == u && !slices.Contains(list, u) {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.Number, b.Number) })
	if v.byService[service] = list; len(list) == 0 {
		delete(v.byService, service)
	}
}

// mergeEntries returns the entry hosts after a delta, ordered by name.
func mergeEntries(old []EntryHost, d Delta) []EntryHost {
	next := slices.DeleteFunc(slices.Clone(old), func(e EntryHost) bool {
		sameName := func(o EntryHost) bool { return o.Name == e.Name }
		return slices.Contains(d.RemovedEntries, e.Name) || slices.ContainsFunc(d.Entries, sameName)
	})
	next = append(next, d.Entries...)
	slices.SortFunc(next, func(a, b EntryHost) int { return cmp.Compare(a.Name, b.Name) })
	return next
}

// updateHomes updates the homes that a delta changes: those of changed upstreams, those at changed or removed entry hosts,
// and those for which a new entry host has the higher score. Without services from files no request goes through a home, and there
// are none.
func (v *View) updateHomes(d Delta) {
	changesHosts := d.Full || len(d.Upstreams)+len(d.RemovedUpstreams)+len(d.Entries)+len(d.RemovedEntries) > 0
	if len(v.services) == 0 {
		v.homes = nil
		if changesHosts {
			v.hostsVersion = v.version
		}
		return
	}
	if !changesHosts && v.homes != nil {
		return
	}
	v.hostsVersion = v.version
	all, added := NewHomes(v.entries), NewHomes(d.Entries)
	changed := map[string]bool{}
	for _, e := range d.Entries {
		changed[e.Name] = true
	}
	for _, name := range d.RemovedEntries {
		changed[name] = true
	}
	old := v.homes
	v.homes = make(map[uint32]EntryHost, len(v.upstreams))
	for number, u := range v.upstreams {
		if home, ok := old[number]; ok && !d.Full && !changed[home.Name] {
			v.homes[number] = added.better(u, home)
		} else if home, ok := all.Of(u); ok {
			v.homes[number] = home
		}
	}
	for _, u := range d.Upstreams {
		if home, ok := all.Of(u); ok {
			v.homes[u.Number] = home
		}
	}
}

// better returns the best home of an upstream among the entry hosts and the given one.
func (h Homes) better(u Upstream, home EntryHost) EntryHost {
	if len(h.entries) == 0 {
		return home
	}
	best, _ := h.Of(u)
	better, _ := NewHomes([]EntryHost{home, best}).Of(u)
	return better
}
