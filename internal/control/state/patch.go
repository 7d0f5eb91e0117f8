package state

import (
	"slices"
	"strings"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// itemSlices is into how many slices the numbered keys of a new service are cut; each is a run of whole numbers.
const itemSlices = 256

// Items returns the configuration items, removed ones remembered.
func (s *State) Items() *items.Set { return s.items }

// patch takes a call's items in, whole or not at all.
func (s *State) patch(p Patch) Result {
	if err := s.items.Validate(p.Items); err != nil {
		return Result{Rejection: err.Error()}
	}
	next, changed := s.items.Apply(p.Items)
	if len(changed) == 0 {
		return Result{}
	}
	s.items = next
	keys := make([]items.Key, len(changed))
	for i := range changed {
		keys[i] = changed[i].Key()
	}
	s.note(journalEntry{items: keys})
	s.listKeyed()
	s.addTables(s.keyed, itemSlices)
	return Result{Changed: len(changed)}
}

// listKeyed makes the list of keyed services that items define.
func (s *State) listKeyed() {
	s.keyed = nil
	for _, i := range s.items.InForce() {
		if i.Service != nil && i.Service.Keyed {
			s.keyed = append(s.keyed, conf.NewNumbered(i.Name))
		}
	}
}

// addTables gives each service that never had slices a fresh set of them.
func (s *State) addTables(services []*conf.Service, count int) {
	for _, v := range services {
		if s.table(v.Name()) != nil {
			continue
		}
		n := v.Slices()
		if n == 0 {
			n = count
		}
		fresh := serviceTable{name: v.Name(), set: s.freshSet(n), changedAt: s.index, shapedAt: s.index}
		s.tables = append(s.tables, fresh)
		s.note(journalEntry{changes: table.SliceChanges{Service: fresh.name, All: fresh.set.Slices()}})
	}
	slices.SortFunc(s.tables, func(a, b serviceTable) int { return strings.Compare(a.name, b.name) })
}

// itemsForEntries returns the chosen items without their sources, which only operators read.
func (s *State) itemsForEntries(chosen func(items.Key) bool) (list []items.Item) {
	for _, i := range s.items.All() {
		if chosen(i.Key()) {
			i.Source = nil
			list = append(list, i)
		}
	}
	return list
}
