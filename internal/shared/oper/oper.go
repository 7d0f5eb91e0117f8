package oper

import (
	"connectrpc.com/connect"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/evac"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Procedures of control hosts.
const (
	Deliver   = "/ebonyrill.v1.Group/Deliver"
	Identify  = "/ebonyrill.v1.Group/Identify"
	Bootstrap = "/ebonyrill.v1.Group/Bootstrap"
	Renew     = "/ebonyrill.v1.Control/Renew"
	RenewMany = "/ebonyrill.v1.Control/RenewMany"
	Watch     = "/ebonyrill.v1.Control/Watch"
	Publish   = "/ebonyrill.v1.Operators/Publish"
	Current   = "/ebonyrill.v1.Operators/Current"
	Status    = "/ebonyrill.v1.Operators/Status"
	Owners    = "/ebonyrill.v1.Operators/Owners"
	Drain     = "/ebonyrill.v1.Operators/Drain"
	Members   = "/ebonyrill.v1.Operators/Members"
	Burn      = "/ebonyrill.v1.Operators/Burn"
	Enrol     = "/ebonyrill.v1.Group/Enrol"
	Patch     = "/ebonyrill.v1.Operators/Patch"
	Items     = "/ebonyrill.v1.Operators/Items"
	Leave     = "/ebonyrill.v1.Control/Leave"
	Evacuate  = "/ebonyrill.v1.Operators/Evacuate"
)

// PublishTime is the layout of the time at the start of a publish id; ids therefore sort by time.
const PublishTime = "20060102T150405.000Z"

// Empty is the message of a call without arguments or without a result.
type Empty struct{}

// PublishRequest proposes a set of service files that replaces version Base of the configuration. ID makes the request
// idempotent; By names its author.
type PublishRequest struct {
	ID    string      `cbor:"1,keyasint"`
	Base  uint64      `cbor:"2,keyasint"`
	By    string      `cbor:"3,keyasint"`
	Files []conf.File `cbor:"4,keyasint"`
}

// OwnersRequest requests the owner of a key.
type OwnersRequest struct {
	Service string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
}

// OwnersResponse is the response with the owner of a key, the next owner during a move, and the owner's home.
type OwnersResponse struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Key     string `cbor:"2,keyasint" json:"key"`
	Hash    uint64 `cbor:"3,keyasint" json:"hash,string"`
	Owner   string `cbor:"4,keyasint" json:"owner"`
	Address string `cbor:"5,keyasint" json:"address"`
	Next    string `cbor:"6,keyasint" json:"next,omitempty"`
	Fence   uint64 `cbor:"7,keyasint" json:"fence"`
	Home    string `cbor:"8,keyasint" json:"home"`
}

// DrainRequest starts or ends the drain of an upstream.
type DrainRequest struct {
	Name string `cbor:"1,keyasint"`
	On   bool   `cbor:"2,keyasint"`
}

// MembersAction is a change of the control group's members.
type MembersAction string

// Changes of members.
const (
	AddLearner MembersAction = "addLearner"
	Promote    MembersAction = "promote"
	Remove     MembersAction = "remove"
)

// MembersRequest changes the members of the control group. Address identifies the host for AddLearner, ID for the other
// actions.
type MembersRequest struct {
	Action  MembersAction `cbor:"1,keyasint"`
	Address string        `cbor:"2,keyasint"`
	ID      uint64        `cbor:"3,keyasint"`
}

// Identity describes a control host. Joined is set if its data folder belongs to a group, Standby if it must not vote.
type Identity struct {
	ID         uint64 `cbor:"1,keyasint" json:"id"`
	Joined     bool   `cbor:"2,keyasint" json:"joined"`
	Name       string `cbor:"3,keyasint" json:"name"`
	Address    string `cbor:"4,keyasint" json:"address"`
	DataCentre string `cbor:"5,keyasint" json:"dataCentre"`
	Standby    bool   `cbor:"6,keyasint,omitempty" json:"standsBy,omitempty"`
}

// EnrolResponse is the response to a join request of a control host: the addresses of the control hosts that the leader knows.
type EnrolResponse struct {
	Addresses []string `cbor:"1,keyasint"`
}

// PatchRequest sets and removes configuration items. It is idempotent, as each item has a version.
type PatchRequest struct {
	Items []items.Item `cbor:"1,keyasint"`
}

// PatchResponse is the response to a PatchRequest: the number of items that changed.
type PatchResponse struct {
	Changed int `cbor:"1,keyasint" json:"changed"`
}

// ItemsResponse is the response with the configuration items in force.
type ItemsResponse struct {
	Items []items.Item `cbor:"1,keyasint" json:"items"`
}

// EvacuateRequest takes a data centre out of service, or back if Out is not set. By is who asks, empty if that is not known. Known is the
// log index up to which the control host that forwards the call knew the state when the call came; it is zero in an operator's own call.
type EvacuateRequest struct {
	DataCentre string `cbor:"1,keyasint"`
	Out        bool   `cbor:"2,keyasint"`
	By         string `cbor:"3,keyasint"`
	Known      uint64 `cbor:"4,keyasint,omitempty"`
}

// LeaveRequest announces that a process of an upstream leaves. If its incarnation is not known, Incarnation is zero and Latest is the
// newest one that it can have.
type LeaveRequest struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Latest      uint64 `cbor:"3,keyasint,omitempty"`
}

// BootstrapRequest bootstraps a control group with the listed members.
type BootstrapRequest struct {
	Members []Identity `cbor:"1,keyasint"`
}

// MemberStatus is the status of a control host. Heard reports whether the leader is in contact with it, Match is the last log
// index known to be on its disk.
type MemberStatus struct {
	ID         uint64 `cbor:"1,keyasint" json:"id"`
	Address    string `cbor:"2,keyasint" json:"address"`
	DataCentre string `cbor:"3,keyasint" json:"dataCentre"`
	Voter      bool   `cbor:"4,keyasint" json:"voter"`
	Leader     bool   `cbor:"5,keyasint" json:"leader"`
	Heard      bool   `cbor:"6,keyasint" json:"heard"`
	CaughtUp   bool   `cbor:"7,keyasint" json:"caughtUp"`
	Match      uint64 `cbor:"8,keyasint" json:"match"`
	Standby    bool   `cbor:"9,keyasint,omitempty" json:"standsBy,omitempty"`
}

// EntryStatus is the status of an entry host. Applied is the table version that it uses.
type EntryStatus struct {
	Name       string `cbor:"1,keyasint" json:"name"`
	Address    string `cbor:"2,keyasint" json:"address"`
	DataCentre string `cbor:"3,keyasint" json:"dataCentre"`
	Live       bool   `cbor:"4,keyasint" json:"live"`
	Applied    uint64 `cbor:"5,keyasint" json:"applied"`
	Lost       bool   `cbor:"6,keyasint" json:"lost"`
	// Behind lists up to MaxBehind configuration items whose newest version is not in force on the host. All is set if the
	// host is so far behind that it will receive the complete table.
	Behind []ItemVersion `cbor:"7,keyasint,omitempty" json:"behind"`
	All    bool          `cbor:"8,keyasint,omitempty" json:"all"`
}

// ItemVersion is a configuration item with its newest version, which may be its removal.
type ItemVersion struct {
	Kind    items.Kind `cbor:"1,keyasint" json:"kind"`
	Name    string     `cbor:"2,keyasint" json:"name"`
	Version uint64     `cbor:"3,keyasint" json:"version"`
}

// MaxBehind is the maximum number of items in EntryStatus.Behind, which bounds the size of a status.
const MaxBehind = 20

// UpstreamStatus is the status of an upstream. Share is the fraction of the hash space that it owns, Rate the number of
// requests per second to its slices.
type UpstreamStatus struct {
	Upstream table.Upstream `cbor:"1,keyasint" json:"upstream"`
	Live     bool           `cbor:"2,keyasint" json:"live"`
	Draining bool           `cbor:"3,keyasint" json:"draining"`
	Slices   int            `cbor:"4,keyasint" json:"slices"`
	Share    float64        `cbor:"5,keyasint" json:"share"`
	Rate     float64        `cbor:"6,keyasint" json:"rate"`
}

// StatusResponse is the response with the status of the system as known to the leader.
type StatusResponse struct {
	Term           uint64           `cbor:"1,keyasint" json:"term"`
	Commit         uint64           `cbor:"2,keyasint" json:"commit"`
	ConfigVersion  uint64           `cbor:"3,keyasint" json:"configVersion"`
	TableVersion   uint64           `cbor:"4,keyasint" json:"tableVersion"`
	Members        []MemberStatus   `cbor:"5,keyasint" json:"members"`
	Entries        []EntryStatus    `cbor:"6,keyasint" json:"entries"`
	Upstreams      []UpstreamStatus `cbor:"7,keyasint" json:"upstreams"`
	Handovers      int              `cbor:"8,keyasint" json:"handovers"`
	Unowned        int              `cbor:"9,keyasint" json:"unowned"`
	FullRedundancy bool             `cbor:"10,keyasint" json:"fullRedundancy"`
	MovedShare     float64          `cbor:"11,keyasint" json:"movedShare"`
	// Evacuations lists the data centres that are out of service or came back lately.
	Evacuations []evac.Record `cbor:"12,keyasint,omitempty" json:"evacuations"`
}

// InForce reports whether all entry hosts have applied the configuration. Lagging names those that have not or are lost.
func (s *StatusResponse) InForce() (everywhere bool, lagging []string) {
	for _, e := range s.Entries {
		if e.Lost || e.Applied < s.ConfigVersion {
			lagging = append(lagging, e.Name)
		}
	}
	return len(lagging) == 0, lagging
}

// BurnCount counts the requests to one service in one step of time: the good ones, and the bad ones by reason.
type BurnCount struct {
	Good        int64 `cbor:"1,keyasint" json:"good"`
	Unavailable int64 `cbor:"2,keyasint" json:"unavailable"`
	Slow        int64 `cbor:"3,keyasint" json:"slow"`
	Shed        int64 `cbor:"4,keyasint" json:"shed"`
	Moved       int64 `cbor:"5,keyasint" json:"moved"`
}

// BurnSeries holds one service's counts in steps of one minute. Minute is the Unix minute of the first step.
type BurnSeries struct {
	Service       string      `cbor:"1,keyasint" json:"service"`
	GoodShare     float64     `cbor:"2,keyasint" json:"goodShare"`
	LatencyMillis float64     `cbor:"3,keyasint" json:"latencyMillis"`
	Minute        int64       `cbor:"4,keyasint" json:"minute"`
	Steps         []BurnCount `cbor:"5,keyasint" json:"steps"`
}

// BurnResponse is the response with the counts of an entry host since it started.
type BurnResponse struct {
	Host     string       `cbor:"1,keyasint" json:"host"`
	Services []BurnSeries `cbor:"2,keyasint" json:"services"`
}

// ErrRefused is returned for a valid call that was rejected; nothing was changed.
type ErrRefused struct {
	Reason string
}

// Error returns the message.
func (e *ErrRefused) Error() string { return e.Reason }

// Code returns the Connect error code.
func (e *ErrRefused) Code() connect.Code { return connect.CodeFailedPrecondition }

// ErrInvalid is returned for a call with invalid arguments; nothing was changed.
type ErrInvalid struct {
	Reason string
}

// Error returns the message.
func (e *ErrInvalid) Error() string { return e.Reason }

// Code returns the Connect error code.
func (e *ErrInvalid) Code() connect.Code { return connect.CodeInvalidArgument }

// ErrOutdated is returned for a call that changed nothing because a later one was committed before it.
type ErrOutdated struct {
	Reason string
}

// Error returns the message.
func (e *ErrOutdated) Error() string { return e.Reason }

// Code returns the Connect error code.
func (e *ErrOutdated) Code() connect.Code { return connect.CodeAborted }

// ErrOutcomeUnknown is returned when leadership was lost before the result of a proposal was known. The caller learns the
// result by sending the request again.
type ErrOutcomeUnknown struct{}

// Error returns the message.
func (e *ErrOutcomeUnknown) Error() string {
	return "leadership was lost before the result of the proposal was known; send it again with the same id"
}

// Code returns the Connect error code.
func (e *ErrOutcomeUnknown) Code() connect.Code { return connect.CodeUnavailable }
