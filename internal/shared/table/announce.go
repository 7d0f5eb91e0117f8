package table

import (
	"slices"
	"time"
)

// Announcement is the heartbeat of an upstream: its address, capacity and health. Upstreams send it periodically to renew
// the lease on their keys. Held is the version of the grants that the upstream holds.
type Announcement struct {
	Name            string  `cbor:"1,keyasint" json:"name"`
	Incarnation     uint64  `cbor:"2,keyasint" json:"incarnation"`
	Sequence        uint64  `cbor:"3,keyasint" json:"sequence"`
	Service         string  `cbor:"4,keyasint" json:"service"`
	Address         string  `cbor:"5,keyasint" json:"address"`
	DataCentre      string  `cbor:"6,keyasint" json:"dataCentre"`
	ChecksFence     bool    `cbor:"7,keyasint" json:"checksFence"`
	ChecksRequestID bool    `cbor:"8,keyasint" json:"checksRequestId"`
	Slots           int     `cbor:"9,keyasint" json:"slots"`
	Connections     int     `cbor:"10,keyasint" json:"connections"`
	Held            uint64  `cbor:"11,keyasint" json:"held"`
	Leaving         bool    `cbor:"12,keyasint" json:"leaving"`
	Healthy         bool    `cbor:"13,keyasint" json:"healthy"`
	Load            float64 `cbor:"14,keyasint" json:"load"`
	Age             Age     `cbor:"15,keyasint,omitempty" json:"-"`
	// Reports is set by an upstream that reports its keys; Holds and Released are then complete and Held is ignored.
	Reports  bool      `cbor:"16,keyasint,omitempty" json:"reports,omitempty"`
	Holds    []Grant   `cbor:"17,keyasint,omitempty" json:"holds,omitempty"`
	Released []Release `cbor:"18,keyasint,omitempty" json:"released,omitempty"`
	// WarmIn is the time until the upstream has warmed up after its start and reaches its usual speed.
	WarmIn time.Duration `cbor:"19,keyasint,omitempty" json:"warmIn,omitempty"`
	// GrantsLimit is how many bytes of grants the upstream accepts in one response, zero for no limit. Of these, a grant takes GrantBytes
	// besides the digits of its fencing token and its handover data, which is encoded as a JSON string.
	GrantsLimit int `cbor:"20,keyasint,omitempty" json:"-"`
	GrantBytes  int `cbor:"21,keyasint,omitempty" json:"-"`
}

// Process returns the process that sent the announcement.
func (a Announcement) Process() Process { return Process{Name: a.Name, Incarnation: a.Incarnation} }

// Age is how long entry and control hosts have held an announcement before they passed it on, measured by their clocks.
type Age time.Duration

// Fraction of a measured age that has certainly passed, however much the clocks that measured it have drifted.
const (
	minAgeNumerator   = 9
	minAgeDenominator = 10
)

// Min returns a lower bound of the age that allows for clock drift; a negative age counts as zero.
func (a Age) Min() time.Duration {
	return time.Duration(max(a, 0)) * minAgeNumerator / minAgeDenominator
}

// AddAge returns a copy of the announcements with their ages increased by the duration held.
func AddAge(list []Announcement, held time.Duration) []Announcement {
	aged := slices.Clone(list)
	for i := range aged {
		aged[i].Age += Age(held)
	}
	return aged
}

// GrantStatus is the result of an announcement.
type GrantStatus string

// Results of an announcement.
const (
	// GrantHeld means that the lease is renewed.
	GrantHeld GrantStatus = "held"
	// GrantJoining means that the upstream is being added to the table; it has to announce again.
	GrantJoining GrantStatus = "joining"
	// GrantStale means that the incarnation has ended; the upstream drops its grants and joins as a new incarnation.
	GrantStale GrantStatus = "stale"
	// GrantLate means that a later announcement was already received; this one renews nothing.
	GrantLate GrantStatus = "late"
	// GrantRefused means that the announcement is invalid.
	GrantRefused GrantStatus = "refused"
)

// Grant is a range of key hashes, both ends included, that an upstream owns. Fence is the fencing token of the grant.
type Grant struct {
	From  uint64 `cbor:"1,keyasint" json:"from,string"`
	To    uint64 `cbor:"2,keyasint" json:"to,string"`
	Fence uint64 `cbor:"3,keyasint" json:"fence"`
	// Handover is the handover data of the last owner, empty if there is none.
	Handover string `cbor:"4,keyasint,omitempty" json:"handover,omitempty"`
}

// Release is a range of key hashes, both ends included, that an upstream has released. Handover is the data with which the
// next owner can start warm.
type Release struct {
	From     uint64 `cbor:"1,keyasint" json:"from,string"`
	To       uint64 `cbor:"2,keyasint" json:"to,string"`
	Handover string `cbor:"3,keyasint" json:"handover"`
}

// GrantResponse is the response to an announcement. Grants is set only if Changed is; otherwise the upstream already holds
// the grants of this version. AgainMillis is the time in milliseconds after which the upstream announces again.
type GrantResponse struct {
	Name        string      `cbor:"1,keyasint" json:"name"`
	Incarnation uint64      `cbor:"2,keyasint" json:"incarnation"`
	Sequence    uint64      `cbor:"3,keyasint" json:"sequence"`
	Status      GrantStatus `cbor:"4,keyasint" json:"status"`
	Reason      string      `cbor:"5,keyasint" json:"reason,omitempty"`
	LeaseMillis int64       `cbor:"6,keyasint" json:"leaseMillis"`
	Version     uint64      `cbor:"7,keyasint" json:"version"`
	Changed     bool        `cbor:"8,keyasint" json:"changed"`
	Grants      []Grant     `cbor:"9,keyasint" json:"grants,omitempty"`
	Draining    bool        `cbor:"10,keyasint" json:"draining"`
	AgainMillis int64       `cbor:"11,keyasint" json:"againMillis"`
	// Pending means that further grants are being committed; a response made shortly after contains them.
	Pending bool `cbor:"12,keyasint,omitempty" json:"-"`
	// Left means that it is committed that the process leaves or has ended, so that it will get no new requests. It is set only in a
	// response to an announcement with Leaving.
	Left bool `cbor:"13,keyasint,omitempty" json:"-"`
}

// ErrBadResponse is returned for an invalid response to an announcement; the upstream must ignore the response.
type ErrBadResponse struct {
	Reason string
}

// Error returns the message.
func (e *ErrBadResponse) Error() string { return "invalid response to an announcement: " + e.Reason }

// Check validates the response against its announcement.
func (g GrantResponse) Check(a Announcement) error {
	switch {
	case g.Name != a.Name || g.Incarnation != a.Incarnation || g.Sequence != a.Sequence:
		return &ErrBadResponse{Reason: "it belongs to another announcement"}
	case g.Status == GrantJoining || g.Status == GrantStale || g.Status == GrantRefused:
		return nil
	case g.Status != GrantHeld:
		return &ErrBadResponse{Reason: "unknown status " + string(g.Status)}
	case g.LeaseMillis <= 0:
		return &ErrBadResponse{Reason: "a lease must be longer than 0 ms"}
	}
	for i, grant := range g.Grants {
		if grant.To < grant.From || i > 0 && grant.From <= g.Grants[i-1].To {
			return &ErrBadResponse{Reason: "grants overlap or are out of order"}
		}
	}
	return nil
}

// SliceCount is the number of requests to a slice since the last report.
type SliceCount struct {
	Service string  `cbor:"1,keyasint"`
	Start   uint64  `cbor:"2,keyasint"`
	Count   float64 `cbor:"3,keyasint"`
}

// KeyCount is the number of requests to a hot key since the last report.
type KeyCount struct {
	Service string  `cbor:"1,keyasint"`
	Hash    uint64  `cbor:"2,keyasint"`
	Count   float64 `cbor:"3,keyasint"`
}

// UpstreamStats counts the results of requests that an entry host sent to an upstream since the last report.
type UpstreamStats struct {
	Number   uint32 `cbor:"1,keyasint"`
	Answered int    `cbor:"2,keyasint"`
	Failed   int    `cbor:"3,keyasint"`
	// TotalTime is the sum of the durations of the answered requests.
	TotalTime time.Duration `cbor:"4,keyasint,omitempty"`
}

// Renewal renews an entry host's lease at the control leader and carries the announcements that the host received and its
// load statistics. Applied is the version of the table that the host uses, Oldest the oldest version that still routes a
// request in flight. Period is the time that the statistics cover.
type Renewal struct {
	Host          EntryHost       `cbor:"1,keyasint"`
	Applied       uint64          `cbor:"2,keyasint"`
	Oldest        uint64          `cbor:"3,keyasint"`
	Leaving       bool            `cbor:"4,keyasint,omitempty"`
	Announcements []Announcement  `cbor:"5,keyasint,omitempty"`
	Period        time.Duration   `cbor:"6,keyasint,omitempty"`
	Slices        []SliceCount    `cbor:"7,keyasint,omitempty"`
	Keys          []KeyCount      `cbor:"8,keyasint,omitempty"`
	UpstreamStats []UpstreamStats `cbor:"9,keyasint,omitempty"`
	// LeavingUpstreams are those that this host knows to leave from their responses, and that the table does not show as leaving.
	LeavingUpstreams []Process `cbor:"10,keyasint,omitempty"`
}

// RenewalResponse is the response to a renewal. Grants holds a response to each announcement, Version is the table's version.
type RenewalResponse struct {
	Joined      bool            `cbor:"1,keyasint"`
	LeaseMillis int64           `cbor:"2,keyasint"`
	Version     uint64          `cbor:"3,keyasint"`
	Grants      []GrantResponse `cbor:"4,keyasint,omitempty"`
}

// RenewalBatch holds renewals that a control host forwards to the leader.
type RenewalBatch struct {
	Renewals []Renewal `cbor:"1,keyasint,omitempty"`
}

// RenewalBatchResponse is the response to a batch. Responses are in the order of the renewals, Commit is the last committed
// log index.
type RenewalBatchResponse struct {
	Responses []RenewalResponse `cbor:"1,keyasint,omitempty"`
	Commit    uint64            `cbor:"2,keyasint"`
}

// Watch requests the changes since a version; it is a long poll that waits up to MaxWait for a change. Digest is the checksum
// of the slices that the entry host holds.
type Watch struct {
	Name    string        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Digest  uint64        `cbor:"3,keyasint"`
	MaxWait time.Duration `cbor:"4,keyasint"`
}
