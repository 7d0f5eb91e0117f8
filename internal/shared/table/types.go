package table

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/evac"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// MaxSkew is the largest assumed difference between the wall clocks of two hosts. Deadlines are passed between hosts as
// wall-clock times.
const MaxSkew = 50 * time.Millisecond

// Upstream is one incarnation of a server that owns keys. GrantsVersion is the table version that last changed its grants,
// ExcludedHome is the entry host that must not be its home. Earlier versions used the key 15 of the encoding.
type Upstream struct {
	Number          uint32 `cbor:"1,keyasint" json:"number"`
	Name            string `cbor:"2,keyasint" json:"name"`
	Incarnation     uint64 `cbor:"3,keyasint" json:"incarnation"`
	Service         string `cbor:"4,keyasint" json:"service"`
	Address         string `cbor:"5,keyasint" json:"address"`
	DataCentre      string `cbor:"6,keyasint" json:"dataCentre"`
	ChecksFence     bool   `cbor:"7,keyasint" json:"checksFence"`
	ChecksRequestID bool   `cbor:"8,keyasint" json:"checksRequestId"`
	Slots           int    `cbor:"9,keyasint" json:"slots"`
	Connections     int    `cbor:"10,keyasint" json:"connections"`
	Leaving         bool   `cbor:"11,keyasint" json:"leaving"`
	GrantsVersion   uint64 `cbor:"12,keyasint" json:"grantsVersion"`
	ExcludedHome    string `cbor:"13,keyasint,omitempty" json:"excludedHome,omitempty"`
	// Reports is set if the upstream reports the keys that it holds; its report then releases keys before the lease expires.
	Reports bool `cbor:"14,keyasint,omitempty" json:"reports,omitempty"`
	// ColdLeft is how much longer the upstream was cold when version ColdVersion of the table was committed, which last set it.
	ColdLeft    time.Duration `cbor:"16,keyasint,omitempty" json:"coldLeft,omitempty"`
	ColdVersion uint64        `cbor:"17,keyasint,omitempty" json:"coldVersion,omitempty"`
}

// Process identifies an upstream process. An upstream that was lost and joins again has another number and is the same process.
type Process struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Process returns the identity of the upstream's process.
func (u Upstream) Process() Process { return Process{Name: u.Name, Incarnation: u.Incarnation} }

// EntryHost is one incarnation of a daemon that accepts callers' requests. JoinedAt is the log index at which it joined.
type EntryHost struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Address     string `cbor:"3,keyasint" json:"address"`
	DataCentre  string `cbor:"4,keyasint" json:"dataCentre"`
	JoinedAt    uint64 `cbor:"5,keyasint" json:"joinedAt"`
	// Processor is the number of processor cores that the host may use, and Link the rate of its network link in bytes per second. Zero
	// stands for a host that states none.
	Processor float64 `cbor:"6,keyasint,omitempty" json:"processor,omitempty"`
	Link      float64 `cbor:"7,keyasint,omitempty" json:"link,omitempty"`
}

// PublishResult is the result of a publish; Reason says why it was rejected.
type PublishResult struct {
	ID       string `cbor:"1,keyasint" json:"id"`
	Digest   string `cbor:"2,keyasint" json:"digest"`
	By       string `cbor:"3,keyasint" json:"by"`
	Accepted bool   `cbor:"4,keyasint" json:"accepted"`
	Version  uint64 `cbor:"5,keyasint" json:"version"`
	Reason   string `cbor:"6,keyasint" json:"reason,omitempty"`
}

// Config is the set of service files in force.
type Config struct {
	Version uint64      `cbor:"1,keyasint" json:"version"`
	Digest  string      `cbor:"2,keyasint" json:"digest"`
	By      string      `cbor:"3,keyasint" json:"by"`
	Files   []conf.File `cbor:"4,keyasint" json:"files"`
}

// Delta updates an entry host's copy of the table from one version to another, or replaces the copy if Full is set.
// Upstreams and Entries hold those that are new or changed. Digest is the checksum of all slices after the update.
type Delta struct {
	From             uint64         `cbor:"1,keyasint"`
	To               uint64         `cbor:"2,keyasint"`
	Full             bool           `cbor:"3,keyasint,omitempty"`
	Config           *Config        `cbor:"4,keyasint,omitempty"`
	Upstreams        []Upstream     `cbor:"5,keyasint,omitempty"`
	Entries          []EntryHost    `cbor:"6,keyasint,omitempty"`
	Tables           []SliceChanges `cbor:"7,keyasint,omitempty"`
	Digest           uint64         `cbor:"9,keyasint"`
	RemovedUpstreams []uint32       `cbor:"10,keyasint,omitempty"`
	RemovedEntries   []string       `cbor:"11,keyasint,omitempty"`
	Items            []items.Item   `cbor:"12,keyasint,omitempty"`
	Control          []ControlHost  `cbor:"13,keyasint,omitempty"`
	// Evacuations are the data centres that were taken out of service or back; with Full, those out of service.
	Evacuations []evac.Record `cbor:"14,keyasint,omitempty"`
}

// ControlHost is the address at which a control host accepts calls, and its data centre.
type ControlHost struct {
	Address    string `cbor:"1,keyasint" json:"address"`
	DataCentre string `cbor:"2,keyasint" json:"dataCentre"`
}

// SliceChanges are the changes to one service's slices; All, if set, replaces all of them instead.
type SliceChanges struct {
	Service string         `cbor:"1,keyasint"`
	Changes []slice.Change `cbor:"2,keyasint,omitempty"`
	All     []slice.Slice  `cbor:"3,keyasint,omitempty"`
}
