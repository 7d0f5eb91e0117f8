package items

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a configuration: the newest version of each item, removed ones included. It never changes; Apply returns another.
type Set struct {
	items  map[Key]Item
	router *Router
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{items: map[Key]Item{}, router: newRouter(nil)} }

// FromItems returns the set of the given items, the highest version of each name.
func FromItems(list []Item) *Set {
	next, _ := NewSet().Apply(list)
	return next
}

// Apply returns the set after the items and those of them that changed it; an item whose version is not above the one held
// changes nothing.
func (s *Set) Apply(list []Item) (next *Set, changed []Item) {
	held := maps.Clone(s.items)
	touched := map[Key]bool{}
	for _, i := range list {
		if old, ok := held[i.Key()]; ok && i.Version <= old.Version {
			continue
		}
		held[i.Key()] = i
		touched[i.Key()] = true
	}
	if len(touched) == 0 {
		return s, nil
	}
	for k := range touched {
		changed = append(changed, held[k])
	}
	sortItems(changed)
	return &Set{items: held, router: newRouter(held)}, changed
}

// Validate returns why a call must not be taken in: an item that is invalid by itself, or one that would come into force and
// names a service that is neither in force nor in the call. An item that a higher version has overtaken may name a service
// that was dropped since, as a call that was accepted must be accepted again.
func (s *Set) Validate(list []Item) error {
	known := s.servicesAfter(list)
	for _, i := range list {
		if err := i.Check(); err != nil {
			return err
		}
		old, held := s.items[i.Key()]
		overtaken := held && i.Version <= old.Version
		if i.Route == nil || i.Removed {
			continue
		}
		for _, t := range i.Route.Targets {
			live, ever := known[t.Service]
			if !ever || !live && !overtaken {
				return &ErrInvalid{Item: "route " + i.Name, Reason: "unknown service " + t.Service}
			}
		}
	}
	return nil
}

// servicesAfter returns the services that were ever named, with whether they are in force once the call is taken in.
func (s *Set) servicesAfter(list []Item) map[string]bool {
	versions := map[string]uint64{}
	known := map[string]bool{}
	note := func(i Item) {
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
		note(i)
	}
	for _, i := range list {
		note(i)
	}
	return known
}

// Len returns the number of items held, removed ones included.
func (s *Set) Len() int { return len(s.items) }

// Get returns an item that stands.
func (s *Set) Get(k Key) (i Item, ok bool) {
	i, ok = s.items[k]
	return i, ok && !i.Removed
}

// All returns every item, removed ones included, in order of kind and name.
func (s *Set) All() []Item {
	list := slices.Collect(maps.Values(s.items))
	sortItems(list)
	return list
}

// InForce returns the items that are not removed, in order of kind and name.
func (s *Set) InForce() []Item {
	return slices.DeleteFunc(s.All(), func(i Item) bool { return i.Removed })
}

// Service returns a service that stands.
func (s *Set) Service(name string) (v Service, ok bool) {
	i, ok := s.Get(Key{Kind: KindService, Name: name})
	if !ok || i.Service == nil {
		return Service{}, false
	}
	return *i.Service, true
}

// Limits returns the limits in force, or the default ones.
func (s *Set) Limits() Limits {
	for k, i := range s.items {
		if k.Kind == KindLimits && !i.Removed && i.Limits != nil {
			return *i.Limits
		}
	}
	return DefaultLimits()
}

// Router returns the routes in force, ready for look-ups.
func (s *Set) Router() *Router { return s.router }

func sortItems(list []Item) {
	slices.SortFunc(list, func(a, b Item) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
}
