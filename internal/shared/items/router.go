package items

import (
	"net"
	"slices"
	"strings"
)

// Match is the route of a request.
type Match struct {
	Name    string
	Version uint64
	Route   *Route
}

// Router finds the route of a request by host and longest path prefix.
type Router struct {
	hosts map[string]*host
}

// host holds the routes of one host by prefix, and the distinct lengths of these prefixes, the longest first.
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

// add adds a route. Of two routes with the same prefix it keeps the one with the higher version, or of equal versions the one
// whose name sorts first, so that all entry hosts choose the same.
func (h *host) add(m Match) {
	old, found := h.byPrefix[m.Route.Prefix]
	if found && (old.Version > m.Version || old.Version == m.Version && old.Name < m.Name) {
		return
	}
	h.byPrefix[m.Route.Prefix] = m
	if length := len(m.Route.Prefix); !slices.Contains(h.lengths, length) {
		h.lengths = append(h.lengths, length)
	}
}

// Empty reports whether there are no routes.
func (r *Router) Empty() bool { return len(r.hosts) == 0 }

// Find returns the host's route with the longest prefix of the path.
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

// hostOf returns the host name of a Host header without the port, in lower case.
func hostOf(hostport string) string {
	if strings.Contains(hostport, ":") {
		if name, _, err := net.SplitHostPort(hostport); err == nil {
			hostport = name
		}
	}
	return strings.ToLower(hostport)
}
