package state

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Bounds of what the state remembers.
const (
	maxOutcomes    = 1024
	maxJournal     = 1024
	maxSeenNames   = 16384
	maxSlicesTotal = 4 << 20
)

// State is the replicated state; it is not safe for concurrent use.
type State struct {
	index        uint64
	version      uint64
	config       table.Config
	services     []*conf.Service
	items        *items.Set
	keyed        []*conf.Service
	outcomes     []table.PublishResult
	outcomeFloor string
	upstreams    []table.Upstream
	nextNumber   uint32
	drained      []string
	seen         []seenName
	entries      []table.EntryHost
	tables       []serviceTable
	named        map[string]uint32
	newest       map[string]uint64
	journal      []journalEntry
	journalFloor uint64
	digest       uint64
	digestAt     uint64
}

// serviceTable is the division of one service's hash space, with the log indexes at which it changed last and at which
// slices were split, merged or made last.
type serviceTable struct {
	name      string
	set       slice.Set
	changedAt uint64
	shapedAt  uint64
}

// seenName remembers the newest incarnation of an upstream name, so that a late announcement cannot revive an old one.
type seenName struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	At          uint64 `cbor:"3,keyasint"`
}

// journalEntry is what one command changed: slices of one service, upstreams by number, or entry hosts by name.
type journalEntry struct {
	version   uint64
	changes   table.SliceChanges
	upstreams []uint32
	entries   []string
	items     []items.Key
}

// New returns an empty state.
func New() *State {
	s := &State{nextNumber: 1, items: items.NewSet()}
	s.indexNames()
	return s
}

// Apply makes the change that the log entry at index carries.
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
		return Result{}, s.dropUpstreams(c.DropUpstreams.Numbers)
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
	}
	return Result{}, errors.New("unknown command")
}

// Skip notes an entry without a command.
func (s *State) Skip(index uint64) { s.index = index }

// Index returns the last applied log index.
func (s *State) Index() uint64 { return s.index }

// Version returns the index of the last change that entry hosts must see.
func (s *State) Version() uint64 { return s.version }

// Config returns the configuration in force.
func (s *State) Config() table.Config { return s.config }

// Services returns the services whose keys are divided among upstreams: those of files, then those of items.
func (s *State) Services() []*conf.Service { return slices.Concat(s.services, s.keyed) }

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

// UpstreamNamed returns the newest incarnation of a named upstream.
func (s *State) UpstreamNamed(name string) (u table.Upstream, ok bool) {
	return s.Upstream(s.named[name])
}

// NewestIncarnation returns the newest incarnation ever joined under the name, or zero.
func (s *State) NewestIncarnation(name string) uint64 { return s.newest[name] }

// indexNames makes the look-ups by name anew.
func (s *State) indexNames() {
	s.named, s.newest = map[string]uint32{}, map[string]uint64{}
	for _, u := range s.upstreams {
		s.named[u.Name] = u.Number
	}
	for _, n := range s.seen {
		s.newest[n.Name] = n.Incarnation
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

// Drained reports whether an operator or the upstream itself asked for its drain.
func (s *State) Drained(u table.Upstream) bool {
	return u.Leaving || slices.Contains(s.drained, u.Name)
}

// Table returns the division of a service; one withdrawn keeps its owners, so that it can come back without a gap.
func (s *State) Table(service string) (set slice.Set, ok bool) {
	t := s.table(service)
	if t == nil {
		return slice.Set{}, false
	}
	return t.set, true
}

// ChangeIndexes returns the log indexes at which a service's slices changed last, and at which any was split, merged or made
// last; a state that was restored counts as changed when it was saved.
func (s *State) ChangeIndexes(service string) (changed, shaped uint64) {
	if t := s.table(service); t != nil {
		return t.changedAt, t.shapedAt
	}
	return 0, 0
}

// LastSliceChange returns the log index at which the slices of any service changed last.
func (s *State) LastSliceChange() (index uint64) {
	for _, t := range s.tables {
		index = max(index, t.changedAt)
	}
	return index
}

// TableNames returns the names of all services that ever had slices.
func (s *State) TableNames() (names []string) {
	for _, t := range s.tables {
		names = append(names, t.name)
	}
	return names
}

// Outcome returns what became of a publish id.
func (s *State) Outcome(id string) (o table.PublishResult, ok bool) {
	for _, o := range s.outcomes {
		if o.ID == id {
			return o, true
		}
	}
	return table.PublishResult{}, false
}

func (s *State) table(service string) *serviceTable {
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

// touchGrants notes that the grants of an upstream changed.
func (s *State) touchGrants(number uint32) {
	if i, ok := s.upstreamPosition(number); ok {
		s.upstreams[i].GrantsVersion = s.index
	}
}

// change applies slice changes to a service and notes them for entry hosts.
func (s *State) change(t *serviceTable, changes []slice.Change) (err error) {
	if len(changes) == 0 {
		return nil
	}
	before := t.set.Len()
	if t.set, err = t.set.Apply(changes); err != nil {
		return err
	}
	t.changedAt = s.index
	if t.set.Len() != before || slices.ContainsFunc(changes, func(c slice.Change) bool { return c.Removed }) {
		t.shapedAt = s.index
	}
	s.note(journalEntry{changes: table.SliceChanges{Service: t.name, Changes: changes}})
	return nil
}

// note keeps what changed for entry hosts that are behind.
func (s *State) note(j journalEntry) {
	s.version, j.version = s.index, s.index
	s.journal = append(s.journal, j)
	if len(s.journal) > 2*maxJournal {
		s.journalFloor = s.journal[len(s.journal)-maxJournal-1].version
		s.journal = slices.Clone(s.journal[len(s.journal)-maxJournal:])
	}
}

func (s *State) joinUpstream(u table.Upstream) Result {
	if u.Incarnation <= s.NewestIncarnation(u.Name) {
		if current, ok := s.UpstreamNamed(u.Name); ok && current.Incarnation == u.Incarnation {
			return Result{Number: current.Number}
		}
		return Result{Rejection: "a newer incarnation of " + u.Name + " was seen"}
	}
	u.Number, u.GrantsVersion = s.nextNumber, s.index
	s.nextNumber++
	s.upstreams = append(s.upstreams, u)
	s.named[u.Name] = u.Number
	s.remember(u.Name, u.Incarnation)
	s.note(journalEntry{upstreams: []uint32{u.Number}})
	return Result{Number: u.Number}
}

// remember notes an upstream's newest incarnation and forgets the names unseen for longest.
func (s *State) remember(name string, incarnation uint64) {
	if _, known := s.newest[name]; known {
		s.seen = slices.DeleteFunc(s.seen, func(n seenName) bool { return n.Name == name })
	}
	s.seen = append(s.seen, seenName{Name: name, Incarnation: incarnation, At: s.index})
	s.newest[name] = incarnation
	if len(s.seen) > maxSeenNames {
		delete(s.newest, s.seen[0].Name)
		s.seen = slices.Clone(s.seen[1:])
	}
}

// dropUpstreams ends incarnations: a slice that one was handing over goes on to the next owner, the others lose theirs.
func (s *State) dropUpstreams(numbers []uint32) (err error) {
	var gone []uint32
	for _, number := range numbers {
		if i, ok := s.upstreamPosition(number); ok {
			gone = append(gone, number)
			s.upstreams = slices.Delete(s.upstreams, i, i+1)
		}
	}
	if len(gone) == 0 {
		return nil
	}
	s.indexNames()
	s.note(journalEntry{upstreams: gone})
	slices.Sort(gone)
	for i := range s.tables {
		if err = s.change(&s.tables[i], s.release(s.tables[i].set, gone)); err != nil {
			return err
		}
	}
	return nil
}

// release returns the changes that take ended incarnations, which are in order, out of a service's slices.
func (s *State) release(set slice.Set, gone []uint32) (changes []slice.Change) {
	has := func(number uint32) bool {
		_, found := slices.BinarySearch(gone, number)
		return found
	}
	for i := range set.Len() {
		e := set.At(i)
		if !has(e.Owner) && !has(e.Next) {
			continue
		}
		if has(e.Next) {
			e.Next = 0
		}
		if has(e.Owner) {
			e.Owner, e.Next = e.Next, 0
		}
		e.Fence = s.index
		s.touchGrants(e.Owner)
		changes = append(changes, slice.Change{Slice: e})
	}
	return changes
}

func (s *State) drain(d Drain) Result {
	var changed []uint32
	for i, u := range s.upstreams {
		if u.Name != d.Name {
			continue
		}
		changed = append(changed, u.Number)
		if d.Self {
			s.upstreams[i].Leaving = d.On
		}
	}
	if !d.Self {
		s.drained = slices.DeleteFunc(s.drained, func(name string) bool { return name == d.Name })
		if d.On {
			s.drained = append(s.drained, d.Name)
			slices.Sort(s.drained)
		}
	}
	s.note(journalEntry{upstreams: changed})
	return Result{}
}

func (s *State) excludeHome(c ExcludeHome) Result {
	if i, ok := s.upstreamPosition(c.Number); ok && s.upstreams[i].ExcludedHome != c.Entry {
		s.upstreams[i].ExcludedHome = c.Entry
		s.note(journalEntry{upstreams: []uint32{c.Number}})
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
	s.note(journalEntry{entries: []string{e.Name}})
	return Result{}
}

func (s *State) dropEntry(d DropEntry) Result {
	before := len(s.entries)
	s.entries = slices.DeleteFunc(s.entries, func(o table.EntryHost) bool {
		return o.Name == d.Name && o.Incarnation == d.Incarnation
	})
	if len(s.entries) != before {
		s.note(journalEntry{entries: []string{d.Name}})
	}
	return Result{}
}
