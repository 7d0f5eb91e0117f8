package items

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a configuration: the newest version of each item, removed ones included. It is immutable; Apply returns a new set.
type Set struct {
	items  map[Key]Item
	router *Router
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{items: map[Key]Item{}, router: newRouter(nil)} }

// FromItems returns the set of the given items; of several versions of an item it contains the highest.
func FromItems(list []Item) *Set {
	next, _ := NewSet().Apply(list)
	return next
}

// Apply returns the set with the items applied, and the items that changed it. An item whose version is not above the one in
// the set is ignored.
func (s *Set) Apply(list []Item) (next *Set, changed []Item) {
	merged := maps.Clone(s.items)
	updated := map[Key]bool{}
	for _, i := range list {
		if old, ok := merged[i.Key()]; ok && i.Version <= old.Version {
			continue
		}
		merged[i.Key()] = i
		updated[i.Key()] = true
	}
	if len(updated) == 0 {
		return s, nil
	}
	for k := range updated {
		changed = append(changed, merged[k])
	}
	sortItems(changed)
	return &Set{items: merged, router: newRouter(merged)}, changed
}

// Validate returns an ErrInvalid if a call with these items must be rejected: if an item is invalid, or if a route names a
// service that is neither in force nor in the call. A route that the set holds in the same or a higher version may name a
// service that has been removed since, as an accepted call must be accepted again when it is resent.
func (s *Set) Validate(list []Item) error {
	known := s.servicesAfter(list)
	for _, i := range list {
		if err := i.Check(); err != nil {
			return err
		}
		old, found := s.items[i.Key()]
		outdated := found && i.Version <= old.Version
		if i.Route == nil || i.Removed {
			continue
		}
		for _, t := range i.Route.Targets {
			inForce, exists := known[t.Service]
			if !exists || !inForce && !outdated {
				return &ErrInvalid{Item: "route " + i.Name, Reason: "unknown service " + t.Service}
			}
		}
	}
	return nil
}

// servicesAfter returns all services of the set and the items, removed ones included, and whether each is in force once the
// items are applied.
func (s *Set) servicesAfter(list []Item) map[string]bool {
	versions := map[string]uint64{}
	known := map[string]bool{}
	add := func(i Item) {
		if i.Kind != KindService {
			return
		}
		if v, ok := versions[i.Name]; ok && i.Version <= v {
			return
		}
		versions[i.Name] = i.Version
		known[i.Name] = !i.Removed
	}
	for _, i := range s.items {
		add(i)
	}
	for _, i := range list {
		add(i)
	}
	return known
}

// Len returns the number of items, removed ones included.
func (s *Set) Len() int { return len(s.items) }

// Get returns an item; ok is false if it is unknown or removed.
func (s *Set) Get(k Key) (i Item, ok bool) {
	i, ok = s.items[k]
	return i, ok && !i.Removed
}

// All returns all items, removed ones included, ordered by kind and name.
func (s *Set) All() []Item {
	list := slices.Collect(maps.Values(s.items))
	sortItems(list)
	return list
}

// InForce returns the items that are not removed, ordered by kind and name.
func (s *Set) InForce() []Item {
	return slices.DeleteFunc(s.All(), func(i Item) bool { return i.Removed })
}

// Service returns a service; ok is false if it is unknown or removed.
func (s *Set) Service(name string) (v Service, ok bool) {
	i, ok := s.Get(Key{Kind: KindService, Name: name})
	if !ok || i.Service == nil {
		return Service{}, false
	}
	return *i.Service, true
}

// Limits returns the configured limits, or DefaultLimits if there are none.
func (s *Set) Limits() Limits {
	for k, i := range s.items {
		if k.Kind == KindLimits && !i.Removed && i.Limits != nil {
			return *i.Limits
		}
	}
	return DefaultLimits()
}

// Router returns the router of the routes in force.
func (s *Set) Router() *Router { return s.router }

func sortItems(list []Item) {
	slices.SortFunc(list, func(a, b Item) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
}
