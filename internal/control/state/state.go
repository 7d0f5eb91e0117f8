package state

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/evac"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Limits of the state's size.
const (
	// maxOutcomes is the number of publish outcomes that are kept.
	maxOutcomes = 1024
	// journalRetention is the number of journal entries left by a trim; the journal is trimmed when it exceeds twice that number.
	journalRetention = 1024
	// maxIncarnations is the number of upstream names whose newest incarnation is kept.
	maxIncarnations = 16384
	// maxSlicesPerService is the number of slices of a service at which splits are skipped.
	maxSlicesPerService = 4 << 20
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	index        uint64 // last applied log index
	version      uint64 // log index of the last change that is sent to entry hosts
	config       table.Config
	services     []*conf.Service // services defined by files
	items        *items.Set
	itemServices []*conf.Service       // services defined by items
	outcomes     []table.PublishResult // ordered by ID
	outcomeFloor string                // largest ID of an outcome that was dropped
	upstreams    []table.Upstream      // ordered by number
	nextNumber   uint32
	drained      []string           // names of the upstreams that operators have asked to drain
	incarnations []knownIncarnation // ordered by join index
	entries      []table.EntryHost  // ordered by name
	tables       []sliceTable       // ordered by service
	numberByName map[string]uint32  // number of the newest incarnation by upstream name
	newestByName map[string]knownIncarnation
	journal      []journalEntry
	evacuations  *evac.Set
	journalFloor uint64 // version up to which journal entries are missing
	digest       uint64
	digestAt     uint64 // version that digest was computed at
}

// sliceTable is the division of one service's hash space into slices. changedAt is the log index of the last change,
// boundsChangedAt that of the last change that created, split or merged slices. reports holds, by first hash, the sequence number of
// a report in which the owner of a slice that is being moved listed it with its fencing token.
type sliceTable struct {
	name            string
	set             slice.Set
	changedAt       uint64
	boundsChangedAt uint64
	reports         map[uint64]uint64
}

func newSliceTable(name string, set slice.Set, index uint64) sliceTable {
	return sliceTable{name: name, set: set, changedAt: index, boundsChangedAt: index, reports: map[uint64]uint64{}}
}

// knownIncarnation is the newest incarnation that joined or left under an upstream name, and the log index at which it did. It
// outlasts the upstream, so that a delayed announcement cannot bring back an older incarnation, or one that has left.
type knownIncarnation struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	At          uint64 `cbor:"3,keyasint"`
	// Lost is set while the incarnation is removed because its lease expired, without having left; Sequence is that of its last
	// announcement before.
	Lost     bool   `cbor:"4,keyasint,omitempty"`
	Sequence uint64 `cbor:"5,keyasint,omitempty"`
}

// journalEntry is one change at a version: slices of a service, upstreams by number, entry hosts by name, items by key, or data
// centres taken out of service or back.
type journalEntry struct {
	version   uint64
	changes   table.SliceChanges
	upstreams []uint32
	entries   []string
	items     []items.Key
	evacuated []string
}

// New returns an empty state.
func New() *State {
	s := &State{nextNumber: 1, items: items.NewSet(), evacuations: evac.NewSet(nil)}
	s.rebuildNameIndexes()
	return s
}

// Apply applies the command that is encoded in the log entry at the index.
func (s *State) Apply(index uint64, data []byte) (result Result, err error) {
	defer func() { err = errors.WithMessagef(err, "apply entry %d", index) }()
	var c Command
	if err = wire.Unmarshal(data, &c); err != nil {
		return Result{}, err
	}
	s.index = index
	switch {
	case c.Publish != nil:
		return s.publish(*c.Publish), nil
	case c.JoinUpstream != nil:
		return s.joinUpstream(*c.JoinUpstream), nil
	case c.DropUpstreams != nil:
		return Result{}, s.dropUpstreams(*c.DropUpstreams)
	case c.Drain != nil:
		return s.drain(*c.Drain), nil
	case c.JoinEntry != nil:
		return s.joinEntry(*c.JoinEntry), nil
	case c.DropEntry != nil:
		return s.dropEntry(*c.DropEntry), nil
	case c.Plan != nil:
		return Result{}, s.plan(*c.Plan)
	case c.ExcludeHome != nil:
		return s.excludeHome(*c.ExcludeHome), nil
	case c.Patch != nil:
		return s.patch(*c.Patch), nil
	case c.SetCold != nil:
		return s.setCold(*c.SetCold), nil
	case c.Evacuate != nil:
		return s.evacuate(*c.Evacuate), nil
	}
	return Result{}, errors.New("unknown command")
}

// Skip advances to the index of a log entry that carries no command.
func (s *State) Skip(index uint64) { s.index = index }

// Index returns the index of the last applied log entry.
func (s *State) Index() uint64 { return s.index }

// Version returns the log index of the last change that is sent to entry hosts.
func (s *State) Version() uint64 { return s.version }

// Config returns the set of service files in force.
func (s *State) Config() table.Config { return s.config }

// Services returns the services whose keys are divided among upstreams: those defined by files, then those defined by items.
func (s *State) Services() []*conf.Service { return slices.Concat(s.services, s.itemServices) }

// Service returns a service by name, or nil.
func (s *State) Service(name string) *conf.Service {
	for _, v := range s.Services() {
		if v.Name() == name {
			return v
		}
	}
	return nil
}

// Upstreams returns all upstreams ordered by number.
func (s *State) Upstreams() []table.Upstream { return slices.Clone(s.upstreams) }

// Upstream returns the upstream with the number.
func (s *State) Upstream(number uint32) (u table.Upstream, ok bool) {
	i, ok := s.upstreamPosition(number)
	if !ok {
		return table.Upstream{}, false
	}
	return s.upstreams[i], true
}

// UpstreamNamed returns the newest incarnation of the upstream with the name.
func (s *State) UpstreamNamed(name string) (u table.Upstream, ok bool) {
	return s.Upstream(s.numberByName[name])
}

// NewestIncarnation returns the newest incarnation that has joined or left under the name, also if it was removed since. It returns
// zero if none is known.
func (s *State) NewestIncarnation(name string) uint64 { return s.newestByName[name].Incarnation }

// Lost reports whether the newest incarnation under the name was removed because its lease expired, and has neither left nor joined
// again since. It returns the sequence number of the last announcement before the incarnation was last lost, or zero.
func (s *State) Lost(name string) (sequence uint64, lost bool) {
	k := s.newestByName[name]
	return k.Sequence, k.Lost
}

// rebuildNameIndexes rebuilds the maps by upstream name.
func (s *State) rebuildNameIndexes() {
	s.numberByName, s.newestByName = map[string]uint32{}, map[string]knownIncarnation{}
	for _, u := range s.upstreams {
		s.numberByName[u.Name] = u.Number
	}
	for _, n := range s.incarnations {
		s.newestByName[n.Name] = n
	}
}

// Entries returns all entry hosts ordered by name.
func (s *State) Entries() []table.EntryHost { return slices.Clone(s.entries) }

// Entry returns the entry host with the name.
func (s *State) Entry(name string) (e table.EntryHost, ok bool) {
	for _, e := range s.entries {
		if e.Name == name {
			return e, true
		}
	}
	return table.EntryHost{}, false
}

// Drained reports whether an operator or the upstream itself has asked to drain it.
func (s *State) Drained(u table.Upstream) bool {
	return u.Leaving || slices.Contains(s.drained, u.Name)
}

// Table returns the slices of a service. A removed service keeps its slices and owners, so that it has owners at once if it is
// added again.
func (s *State) Table(service string) (set slice.Set, ok bool) {
	t := s.table(service)
	if t == nil {
		return slice.Set{}, false
	}
	return t.set, true
}

// ChangeIndexes returns the log index at which a service's slices last changed, and the one at which slices were last created,
// split or merged. In a state restored from a snapshot both start at the snapshot's index.
func (s *State) ChangeIndexes(service string) (changed, boundsChanged uint64) {
	if t := s.table(service); t != nil {
		return t.changedAt, t.boundsChangedAt
	}
	return 0, 0
}

// LastSliceChange returns the log index at which the slices of any service last changed.
func (s *State) LastSliceChange() (index uint64) {
	for _, t := range s.tables {
		index = max(index, t.changedAt)
	}
	return index
}

// TableNames returns the names of all services that have slices, including removed services.
func (s *State) TableNames() (names []string) {
	for _, t := range s.tables {
		names = append(names, t.name)
	}
	return names
}

// Outcome returns the outcome of the publish with the ID, if it is still kept.
func (s *State) Outcome(id string) (o table.PublishResult, ok bool) {
	for _, o := range s.outcomes {
		if o.ID == id {
			return o, true
		}
	}
	return table.PublishResult{}, false
}

// MoveReport returns the sequence number of a report in which the owner of a slice that is being moved listed it with its fencing
// token, or zero if none is known.
func (s *State) MoveReport(service string, start uint64) (sequence uint64) {
	if t := s.table(service); t != nil {
		sequence = t.reports[start]
	}
	return sequence
}

func (s *State) table(service string) *sliceTable {
	for i := range s.tables {
		if s.tables[i].name == service {
			return &s.tables[i]
		}
	}
	return nil
}

func (s *State) upstreamPosition(number uint32) (int, bool) {
	return slices.BinarySearchFunc(s.upstreams, number, func(u table.Upstream, n uint32) int {
		return int(int64(u.Number) - int64(n))
	})
}

// bumpGrantsVersion records that the grants of an upstream changed at the current index.
func (s *State) bumpGrantsVersion(number uint32) {
	if i, ok := s.upstreamPosition(number); ok {
		s.upstreams[i].GrantsVersion = s.index
	}
}

// applyChanges applies slice changes to a service and records them in the journal.
func (s *State) applyChanges(t *sliceTable, changes []slice.Change) (err error) {
	if len(changes) == 0 {
		return nil
	}
	before := t.set.Len()
	if t.set, err = t.set.Apply(changes); err != nil {
		return err
	}
	t.changedAt = s.index
	for _, c := range changes {
		if c.Removed || !c.Slice.Moving() {
			delete(t.reports, c.Slice.Start)
		}
	}
	if t.set.Len() != before || slices.ContainsFunc(changes, func(c slice.Change) bool { return c.Removed }) {
		t.boundsChangedAt = s.index
	}
	s.recordChange(journalEntry{changes: table.SliceChanges{Service: t.name, Changes: changes}})
	return nil
}

// recordChange sets the version to the current index and appends the change to the journal, from which entry hosts at older
// versions get their deltas. It trims the journal when it is too long.
func (s *State) recordChange(j journalEntry) {
	s.version, j.version = s.index, s.index
	s.journal = append(s.journal, j)
	if len(s.journal) > 2*journalRetention {
		s.journalFloor = s.journal[len(s.journal)-journalRetention-1].version
		s.journal = slices.Clone(s.journal[len(s.journal)-journalRetention:])
	}
}

func (s *State) joinUpstream(u table.Upstream) Result {
	if known := s.newestByName[u.Name]; u.Incarnation <= known.Incarnation && !(known.Lost && u.Reports && u.Incarnation == known.Incarnation) {
		if current, ok := s.UpstreamNamed(u.Name); ok && current.Incarnation == u.Incarnation {
			return Result{Number: current.Number}
		}
		return Result{Rejection: "this or a newer incarnation of " + u.Name + " has ended"}
	}
	u.Number, u.GrantsVersion = s.nextNumber, s.index
	if u.ColdLeft > 0 {
		u.ColdVersion = s.index
	}
	s.nextNumber++
	s.upstreams = append(s.upstreams, u)
	s.numberByName[u.Name] = u.Number
	s.setNewestIncarnation(u.Name, u.Incarnation)
	s.recordChange(journalEntry{upstreams: []uint32{u.Number}})
	return Result{Number: u.Number}
}

// setNewestIncarnation records an upstream's newest incarnation, which is not lost. If there are too many names, it drops the one that
// joined or left longest ago.
func (s *State) setNewestIncarnation(name string, incarnation uint64) {
	next := knownIncarnation{Name: name, Incarnation: incarnation, At: s.index}
	if previous, known := s.newestByName[name]; known {
		s.incarnations = slices.DeleteFunc(s.incarnations, func(n knownIncarnation) bool { return n.Name == name })
		if previous.Incarnation == incarnation {
			next.Sequence = previous.Sequence
		}
	}
	s.incarnations, s.newestByName[name] = append(s.incarnations, next), next
	if len(s.incarnations) > maxIncarnations {
		delete(s.newestByName, s.incarnations[0].Name)
		s.incarnations = slices.Clone(s.incarnations[1:])
	}
}

// setLost records whether the newest incarnation under a name may join again.
func (s *State) setLost(name string, sequence uint64, lost bool) {
	for i := range s.incarnations {
		if n := &s.incarnations[i]; n.Name == name {
			n.Lost, n.Sequence = lost, sequence
			s.newestByName[name] = *n
		}
	}
}

// dropUpstreams removes upstream incarnations. Of their slices, one that is moving goes to its next owner; the others have no
// owner afterwards. One whose lease expired may join again if it reports the slices that it holds and did not say that it leaves.
func (s *State) dropUpstreams(d DropUpstreams) (err error) {
	var removed []uint32
	for n, number := range d.Numbers {
		i, ok := s.upstreamPosition(number)
		if !ok {
			continue
		}
		removed = append(removed, number)
		u := s.upstreams[i]
		if n < len(d.Sequences) && u.Reports && !u.Leaving && u.Incarnation == s.NewestIncarnation(u.Name) {
			s.setLost(u.Name, d.Sequences[n], true)
		}
		s.upstreams = slices.Delete(s.upstreams, i, i+1)
	}
	if len(removed) == 0 {
		return nil
	}
	s.rebuildNameIndexes()
	s.recordChange(journalEntry{upstreams: removed})
	slices.Sort(removed)
	for i := range s.tables {
		if err = s.applyChanges(&s.tables[i], s.release(s.tables[i].set, removed)); err != nil {
			return err
		}
	}
	return nil
}

// release returns the changes that remove upstreams as owner and next owner of a service's slices. The numbers must be sorted.
func (s *State) release(set slice.Set, removed []uint32) (changes []slice.Change) {
	isRemoved := func(number uint32) bool {
		_, found := slices.BinarySearch(removed, number)
		return found
	}
	for i := range set.Len() {
		e := set.At(i)
		if !isRemoved(e.Owner) && !isRemoved(e.Next) {
			continue
		}
		if isRemoved(e.Next) {
			e.Next = 0
		}
		if isRemoved(e.Owner) {
			e.Owner, e.Next = e.Next, 0
		}
		e.Fence = s.index
		s.bumpGrantsVersion(e.Owner)
		changes = append(changes, slice.Change{Slice: e})
	}
	return changes
}

func (s *State) excludeHome(c ExcludeHome) Result {
	if i, ok := s.upstreamPosition(c.Number); ok && s.upstreams[i].ExcludedHome != c.Entry {
		s.upstreams[i].ExcludedHome = c.Entry
		s.recordChange(journalEntry{upstreams: []uint32{c.Number}})
	}
	return Result{}
}

func (s *State) joinEntry(e table.EntryHost) Result {
	if current, ok := s.Entry(e.Name); ok && current.Incarnation >= e.Incarnation {
		return Result{Rejection: "a newer incarnation of " + e.Name + " has joined"}
	}
	s.entries = slices.DeleteFunc(s.entries, func(o table.EntryHost) bool { return o.Name == e.Name })
	e.JoinedAt = s.index
	s.entries = append(s.entries, e)
	slices.SortFunc(s.entries, func(a, b table.EntryHost) int { return strings.Compare(a.Name, b.Name) })
	s.recordChange(journalEntry{entries: []string{e.Name}})
	return Result{}
}

func (s *State) dropEntry(d DropEntry) Result {
	before := len(s.entries)
	s.entries = slices.DeleteFunc(s.entries, func(o table.EntryHost) bool {
		return o.Name == d.Name && o.Incarnation == d.Incarnation
	})
	if len(s.entries) != before {
		s.recordChange(journalEntry{entries: []string{d.Name}})
	}
	return Result{}
}
