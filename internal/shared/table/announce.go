package table

import (
	"slices"
	"time"
)

// Announcement is what an upstream says of itself, again and again.
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
	// Reports tells that Holds and Released are complete; Held is not read then.
	Reports  bool      `cbor:"16,keyasint,omitempty" json:"reports,omitempty"`
	Holds    []Grant   `cbor:"17,keyasint,omitempty" json:"holds,omitempty"`
	Released []Release `cbor:"18,keyasint,omitempty" json:"released,omitempty"`
	// WarmIn is how much longer the upstream stays slow after its start.
	WarmIn time.Duration `cbor:"19,keyasint,omitempty" json:"warmIn,omitempty"`
}

// Age is how long our own hosts have held an announcement, by their clocks.
type Age time.Duration

// Parts of an age that surely passed, whatever the drift of the clocks that measured it.
const (
	sureAgeNumerator   = 9
	sureAgeDenominator = 10
)

// Min returns the part of the age that has passed by every clock.
func (a Age) Min() time.Duration {
	return time.Duration(max(a, 0)) * sureAgeNumerator / sureAgeDenominator
}

// AddAge returns a copy of the announcements that were held for another while.
func AddAge(list []Announcement, held time.Duration) []Announcement {
	older := slices.Clone(list)
	for i := range older {
		older[i].Age += Age(held)
	}
	return older
}

// GrantStatus tells an upstream how its announcement was met.
type GrantStatus string

// Ways in which an announcement is met.
const (
	// GrantHeld tells that the lease is renewed.
	GrantHeld GrantStatus = "held"
	// GrantJoining tells that the upstream is being taken in; it announces again.
	GrantJoining GrantStatus = "joining"
	// GrantStale tells that the incarnation has ended; the upstream drops its grants and comes back as a new one.
	GrantStale GrantStatus = "stale"
	// GrantLate tells that a later announcement was seen; this one renews nothing.
	GrantLate GrantStatus = "late"
	// GrantRefused tells that the announcement was not valid.
	GrantRefused GrantStatus = "refused"
)

// Grant is one run of hashes, both ends included, with its fence.
type Grant struct {
	From  uint64 `cbor:"1,keyasint" json:"from,string"`
	To    uint64 `cbor:"2,keyasint" json:"to,string"`
	Fence uint64 `cbor:"3,keyasint" json:"fence"`
	// Handover is what the last owner left for this one, empty where there is nothing to take over.
	Handover string `cbor:"4,keyasint,omitempty" json:"handover,omitempty"`
}

// Release is a run of hashes, both ends included, that an upstream has let go, with what the next owner needs to take the
// keys over warm.
type Release struct {
	From     uint64 `cbor:"1,keyasint" json:"from,string"`
	To       uint64 `cbor:"2,keyasint" json:"to,string"`
	Handover string `cbor:"3,keyasint" json:"handover"`
}

// GrantResponse answers an announcement; Grants is absent when the version is the one the upstream holds. AgainMillis is
// when the upstream is to announce again.
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
	// Pending tells that more is being granted; a moment later the answer holds it.
	Pending bool `cbor:"12,keyasint,omitempty" json:"-"`
}

// ErrBadResponse is returned for an answer to an announcement that must not be taken in; nothing may be changed by it.
type ErrBadResponse struct {
	Reason string
}

// Error returns the message.
func (e *ErrBadResponse) Error() string { return "answer to an announcement: " + e.Reason }

// Check holds an answer against the announcement that it is for.
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
	for i, run := range g.Grants {
		if run.To < run.From || i > 0 && run.From <= g.Grants[i-1].To {
			return &ErrBadResponse{Reason: "grants overlap or are out of order"}
		}
	}
	return nil
}

// SliceCount is how many requests a slice had since the last report.
type SliceCount struct {
	Service string  `cbor:"1,keyasint"`
	Start   uint64  `cbor:"2,keyasint"`
	Count   float64 `cbor:"3,keyasint"`
}

// KeyCount is how many requests a hot key had since the last report.
type KeyCount struct {
	Service string  `cbor:"1,keyasint"`
	Hash    uint64  `cbor:"2,keyasint"`
	Count   float64 `cbor:"3,keyasint"`
}

// UpstreamStats is what an entry host saw of an upstream since the last report.
type UpstreamStats struct {
	Number   uint32 `cbor:"1,keyasint"`
	Answered int    `cbor:"2,keyasint"`
	Failed   int    `cbor:"3,keyasint"`
	// Took is the time that the answered requests took in all.
	TotalTime time.Duration `cbor:"4,keyasint,omitempty"`
}

// Renewal is what an entry host sends to the control leader: its own lease, the announcements it took in, and load.
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
}

// RenewalResponse answers a renewal.
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

// RenewalBatchResponse answers a batch in its order; Commit is the last log index that was committed.
type RenewalBatchResponse struct {
	Responses []RenewalResponse `cbor:"1,keyasint,omitempty"`
	Commit    uint64            `cbor:"2,keyasint"`
}

// Watch asks for what changed since a version and waits up to Hold for a change.
type Watch struct {
	Name    string        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Digest  uint64        `cbor:"3,keyasint"`
	MaxWait time.Duration `cbor:"4,keyasint"`
}
