package items

import (
	"time"
)

// Kind tells what an item describes.
type Kind string

// Kinds of items.
const (
	KindRoute   Kind = "route"
	KindService Kind = "service"
	KindLimits  Kind = "limits"
)

// Item is one version of a named item; exactly one of the bodies is set, none if the item was removed. Source is the text
// that the operator sent.
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

// Key names an item among all kinds.
type Key struct {
	Kind Kind
	Name string
}

// Key returns the item's key.
func (i Item) Key() Key { return Key{Kind: i.Kind, Name: i.Name} }

// Route tells where requests of a host and path prefix go and how they are treated.
type Route struct {
	Host        string        `cbor:"1,keyasint" json:"host"`
	Prefix      string        `cbor:"2,keyasint" json:"prefix"`
	Idempotent  bool          `cbor:"3,keyasint" json:"idempotent"`
	Objective   time.Duration `cbor:"4,keyasint" json:"objective"`
	Timeout     time.Duration `cbor:"5,keyasint" json:"timeout"`
	MaxAttempts int           `cbor:"6,keyasint" json:"maxAttempts"`
	Priority    int           `cbor:"7,keyasint" json:"priority"`
	Targets     []Target      `cbor:"8,keyasint" json:"targets"`
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string  `cbor:"1,keyasint" json:"service"`
	Weight  float64 `cbor:"2,keyasint" json:"weight"`
}

// Service tells how the upstreams of a service are spoken to; a keyed service divides its keys among them.
type Service struct {
	HealthPath     string        `cbor:"1,keyasint" json:"healthPath"`
	MaxConnections int           `cbor:"2,keyasint" json:"maxConnections"`
	Keyed          bool          `cbor:"3,keyasint" json:"keyed"`
	WarmUp         time.Duration `cbor:"4,keyasint" json:"warmUp"`
}

// Limits bound what a caller may send, in bytes and in time.
type Limits struct {
	MaxHeaderBytes int64         `cbor:"1,keyasint" json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `cbor:"2,keyasint" json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint" json:"headerTimeout"`
	IdleTimeout    time.Duration `cbor:"4,keyasint" json:"idleTimeout"`
}

// DefaultLimits hold until the configuration sets others.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 32 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
}
