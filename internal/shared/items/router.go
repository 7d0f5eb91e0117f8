package items

import (
	"net"
	"slices"
	"strings"
)

// Match is the route that a request was found to take.
type Match struct {
	Name    string
	Version uint64
	Route   *Route
}

// Router finds the route of a request by host and longest path prefix.
type Router struct {
	hosts map[string]*host
}

// host holds the routes of one host by prefix, and the lengths that prefixes have, the longest first.
type host struct {
	byPrefix map[string]Match
	lengths  []int
}

func newRouter(items map[Key]Item) *Router {
	r := &Router{hosts: map[string]*host{}}
	for _, i := range items {
		if i.Kind != KindRoute || i.Removed || i.Route == nil {
			continue
		}
		name := strings.ToLower(i.Route.Host)
		h := r.hosts[name]
		if h == nil {
			h = &host{byPrefix: map[string]Match{}}
			r.hosts[name] = h
		}
		h.add(Match{Name: i.Name, Version: i.Version, Route: i.Route})
	}
	for _, h := range r.hosts {
		slices.Sort(h.lengths)
		slices.Reverse(h.lengths)
	}
	return r
}

// add takes a route in; of two at the same place the one with the higher version stands, then the one whose name sorts
// first, on every host alike.
func (h *host) add(m Match) {
	old, taken := h.byPrefix[m.Route.Prefix]
	if taken && (old.Version > m.Version || old.Version == m.Version && old.Name < m.Name) {
		return
	}
	h.byPrefix[m.Route.Prefix] = m
	if length := len(m.Route.Prefix); !slices.Contains(h.lengths, length) {
		h.lengths = append(h.lengths, length)
	}
}

// Empty reports whether no route is in force.
func (r *Router) Empty() bool { return len(r.hosts) == 0 }

// Find returns the route with the longest prefix that begins the path, among those of the host.
func (r *Router) Find(hostport, path string) (m Match, ok bool) {
	h := r.hosts[hostOf(hostport)]
	if h == nil {
		return Match{}, false
	}
	for _, length := range h.lengths {
		if length > len(path) {
			continue
		}
		if m, ok = h.byPrefix[path[:length]]; ok {
			return m, true
		}
	}
	return Match{}, false
}

// hostOf returns the host of a Host header without its port, in lower case.
func hostOf(hostport string) string {
	if strings.Contains(hostport, ":") {
		if name, _, err := net.SplitHostPort(hostport); err == nil {
			hostport = name
		}
	}
	return strings.ToLower(hostport)
}
