package items

import (
	"time"
)

// Kind is the kind of a configuration item.
type Kind string

// Kinds of items.
const (
	KindRoute   Kind = "route"
	KindService Kind = "service"
	KindLimits  Kind = "limits"
)

// Item is one version of a named configuration item. Exactly one of Route, Service and Limits is set, none if the item was
// removed. Source is the text that the operator sent.
type Item struct {
	Kind    Kind     `cbor:"1,keyasint" json:"kind"`
	Name    string   `cbor:"2,keyasint" json:"name"`
	Version uint64   `cbor:"3,keyasint" json:"version"`
	Removed bool     `cbor:"4,keyasint,omitempty" json:"removed,omitempty"`
	Route   *Route   `cbor:"5,keyasint,omitempty" json:"route,omitempty"`
	Service *Service `cbor:"6,keyasint,omitempty" json:"service,omitempty"`
	Limits  *Limits  `cbor:"7,keyasint,omitempty" json:"limits,omitempty"`
	Source  []byte   `cbor:"8,keyasint,omitempty" json:"-"`
}

// Key identifies an item by kind and name.
type Key struct {
	Kind Kind
	Name string
}

// Key returns the item's key.
func (i Item) Key() Key { return Key{Kind: i.Kind, Name: i.Name} }

// Route defines the services to which requests with a host and path prefix are sent, and how they are handled. Objective is
// the latency within which a request should be answered. Large marks a route whose responses are large downloads.
type Route struct {
	Host        string        `cbor:"1,keyasint" json:"host"`
	Prefix      string        `cbor:"2,keyasint" json:"prefix"`
	Idempotent  bool          `cbor:"3,keyasint" json:"idempotent"`
	Objective   time.Duration `cbor:"4,keyasint" json:"objective"`
	Timeout     time.Duration `cbor:"5,keyasint" json:"timeout"`
	MaxAttempts int           `cbor:"6,keyasint" json:"maxAttempts"`
	Priority    int           `cbor:"7,keyasint" json:"priority"`
	Targets     []Target      `cbor:"8,keyasint" json:"targets"`
	Large       bool          `cbor:"9,keyasint,omitempty" json:"large,omitempty"`
}

// Target is a service with its weight among the services of a route.
type Target struct {
	Service string  `cbor:"1,keyasint" json:"service"`
	Weight  float64 `cbor:"2,keyasint" json:"weight"`
}

// Service defines how requests are sent to the upstreams of a service. In a keyed service each key has one owner among the
// upstreams. WarmUp is the time for which an upstream is slow on keys that it got without handover data. ColdStart is the time after
// its start during which an upstream is cold, and ColdRate the number of requests per second that a cold upstream tolerates, zero if
// the service states none.
type Service struct {
	HealthPath     string        `cbor:"1,keyasint" json:"healthPath"`
	MaxConnections int           `cbor:"2,keyasint" json:"maxConnections"`
	Keyed          bool          `cbor:"3,keyasint" json:"keyed"`
	WarmUp         time.Duration `cbor:"4,keyasint" json:"warmUp"`
	ColdStart      time.Duration `cbor:"5,keyasint,omitempty" json:"coldStart,omitempty"`
	ColdRate       float64       `cbor:"6,keyasint,omitempty" json:"coldRate,omitempty"`
}

// Limits limit the size of callers' requests, the time to receive a header and the idle time of connections.
type Limits struct {
	MaxHeaderBytes int64         `cbor:"1,keyasint" json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `cbor:"2,keyasint" json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint" json:"headerTimeout"`
	IdleTimeout    time.Duration `cbor:"4,keyasint" json:"idleTimeout"`
}

// DefaultLimits returns the limits that apply until the configuration sets others.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 32 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
}
