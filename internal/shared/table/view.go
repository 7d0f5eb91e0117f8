package table

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/evac"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// View is an entry host's copy of the table at one version. It is immutable.
type View struct {
	version   uint64
	digest    uint64
	config    Config
	services  []*conf.Service
	upstreams map[uint32]Upstream
	entries   []EntryHost
	sets      map[string]slice.Set
	homes     map[uint32]EntryHost
	items     *items.Set
	control   []ControlHost
	byService map[string][]Upstream
	// hostsVersion is the version that last changed upstreams, entry hosts or evacuations.
	hostsVersion uint64
	unchecked    bool
	evacuations  *evac.Set
	evacuated    map[string][]uint32 // by service, see EvacuatedOf
}

// ErrNotNewer is returned for a delta that leads to an older version than the view's or does not start at the view's version.
type ErrNotNewer struct {
	Held    uint64
	Offered uint64
}

// Error returns the message.
func (e *ErrNotNewer) Error() string {
	return fmt.Sprintf("a delta to version %d does not apply to version %d", e.Offered, e.Held)
}

// ErrDigest is returned when the checksum of the slices after a delta is not the one that the control leader sent.
type ErrDigest struct {
	Version uint64
}

// Error returns the message.
func (e *ErrDigest) Error() string {
	return fmt.Sprintf("slices of version %d do not match their checksum", e.Version)
}

// NewView returns an empty view.
func NewView() *View {
	return &View{upstreams: map[uint32]Upstream{}, sets: map[string]slice.Set{}, items: items.NewSet(), evacuations: evac.NewSet(nil)}
}

// Apply returns the view after the delta; the receiver is not changed.
func (v *View) Apply(d Delta) (next *View, err error) {
	defer func() { err = errors.WithMessage(err, "apply delta") }()
	if d.To < v.version || (!d.Full && d.From != v.version) {
		return nil, &ErrNotNewer{Held: v.version, Offered: d.To}
	}
	next = &View{version: d.To, digest: v.digest, config: v.config, services: v.services, upstreams: v.upstreams,
		entries: v.entries, homes: v.homes, items: v.items, control: v.control, byService: v.byService,
		hostsVersion: v.hostsVersion, unchecked: v.unchecked, evacuations: v.evacuations, evacuated: v.evacuated}
	next.applyItems(d)
	next.applyEvacuations(d)
	if err = next.applyConfig(d.Config); err != nil {
		return nil, err
	}
	next.applyHosts(d)
	if d.Full || next.hostsVersion != v.hostsVersion {
		next.listEvacuated()
	}
	if err = next.applySlices(v, d); err != nil {
		return nil, err
	}
	if next.digest != d.Digest {
		return nil, &ErrDigest{Version: d.To}
	}
	return next, nil
}

func (v *View) applyItems(d Delta) {
	if d.Full {
		v.items = items.NewSet()
	}
	if len(d.Items) > 0 {
		v.items, _ = v.items.Apply(d.Items)
	}
	if len(d.Control) > 0 {
		v.control = d.Control
	}
}

func (v *View) applyConfig(c *Config) (err error) {
	if c == nil {
		return nil
	}
	v.config = *c
	v.services, err = conf.ParseSet(c.Files)
	return err
}

func (v *View) applySlices(old *View, d Delta) (err error) {
	v.sets = make(map[string]slice.Set, len(old.sets))
	if !d.Full {
		for name, set := range old.sets {
			v.sets[name] = set
		}
	}
	for _, t := range d.Tables {
		set := v.sets[t.Service]
		if t.All != nil {
			set, err = slice.FromSlices(t.All)
		} else {
			set, err = set.Apply(t.Changes)
		}
		if err != nil {
			return err
		}
		v.sets[t.Service] = set
	}
	if d.Full || len(d.Tables) > 0 {
		v.digest = 0
		for name, set := range v.sets {
			v.digest += ServiceDigest(name, set)
		}
	}
	return nil
}

// ServiceDigest returns the checksum of one service's slices and of its name.
func ServiceDigest(name string, set slice.Set) uint64 { return set.Digest() ^ slice.HashKey(name) }

// Version returns the version of the view; zero means that no table was received yet.
func (v *View) Version() uint64 { return v.version }

// HostsVersion returns the version that last changed upstreams, entry hosts or which data centres are out of service.
func (v *View) HostsVersion() uint64 { return v.hostsVersion }

// Unchecked reports whether an upstream checks no fencing tokens; control then has to know which versions entry hosts apply.
func (v *View) Unchecked() bool { return v.unchecked }

// Digest returns the checksum over all slices.
func (v *View) Digest() uint64 { return v.digest }

// Config returns the configuration in force.
func (v *View) Config() Config { return v.config }

// Services returns the services in force.
func (v *View) Services() []*conf.Service { return v.services }

// Entries returns the entry hosts.
func (v *View) Entries() []EntryHost { return v.entries }

// Items returns the configuration items in force.
func (v *View) Items() *items.Set { return v.items }

// Control returns the control hosts; the list is empty until the control leader has sent it.
func (v *View) Control() []ControlHost { return v.control }

// UpstreamsOf returns the upstreams of a service, ordered by number; the caller must not change the list.
func (v *View) UpstreamsOf(service string) []Upstream { return v.byService[service] }

// Upstreams returns the upstreams by number.
func (v *View) Upstreams() map[uint32]Upstream { return v.upstreams }

// Upstream returns the upstream with the number.
func (v *View) Upstream(number uint32) (u Upstream, ok bool) {
	u, ok = v.upstreams[number]
	return u, ok
}

// ServiceFor returns the service with the longest path prefix that matches the path, or nil.
func (v *View) ServiceFor(path string) (found *conf.Service) {
	for _, s := range v.services {
		if underPrefix(path, s.Prefix()) && (found == nil || len(s.Prefix()) > len(found.Prefix())) {
			found = s
		}
	}
	return found
}

func underPrefix(path, prefix string) bool {
	if prefix == "/" {
		return true
	}
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// Set returns the slices of a service, if it has any.
func (v *View) Set(service string) (set slice.Set, ok bool) {
	set, ok = v.sets[service]
	return set, ok && set.Len() > 0
}

// ServiceDigest returns the checksum of a service's slices in the view.
func (v *View) ServiceDigest(service string) uint64 { return ServiceDigest(service, v.sets[service]) }
