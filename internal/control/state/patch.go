package state

import (
	"slices"
	"strings"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// itemServiceSlices is the number of slices of a new service that is defined by an item. Its keys are 16-bit numbers; a slice
// covers a range of them and never divides one.
const itemServiceSlices = 256

// Items returns the configuration items, including tombstones of removed ones.
func (s *State) Items() *items.Set { return s.items }

// patch applies a set of items, or none of them if any is invalid.
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
	s.recordChange(journalEntry{items: keys})
	s.rebuildItemServices()
	s.addSliceTables(s.itemServices, itemServiceSlices)
	return Result{Changed: len(changed)}
}

// rebuildItemServices collects the services that are defined by items and whose keys are divided among upstreams.
func (s *State) rebuildItemServices() {
	s.itemServices = nil
	for _, i := range s.items.InForce() {
		if i.Service != nil && i.Service.Keyed {
			s.itemServices = append(s.itemServices, conf.NewNumbered(i.Name))
		}
	}
}

// addSliceTables creates a slice table for each service that has none. A service that does not set its number of slices gets
// count.
func (s *State) addSliceTables(services []*conf.Service, count int) {
	for _, v := range services {
		if s.table(v.Name()) != nil {
			continue
		}
		n := v.Slices()
		if n == 0 {
			n = count
		}
		t := newSliceTable(v.Name(), s.newUnownedSet(n), s.index)
		s.tables = append(s.tables, t)
		s.recordChange(journalEntry{changes: table.SliceChanges{Service: t.name, All: t.set.Slices()}})
	}
	slices.SortFunc(s.tables, func(a, b sliceTable) int { return strings.Compare(a.name, b.name) })
}

// itemsForEntries returns the items whose keys match, without their sources, which only operators read.
func (s *State) itemsForEntries(match func(items.Key) bool) (list []items.Item) {
	for _, i := range s.items.All() {
		if match(i.Key()) {
			i.Source = nil
			list = append(list, i)
		}
	}
	return list
}
