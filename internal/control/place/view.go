package place

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Policy plans the operations on the slices of a view, given the current time.
type Policy[V, O any] interface {
	Plan(now time.Duration, view V) []O
}

// Member is an upstream as seen by placement.
type Member struct {
	number   uint32
	capacity float64
	state    MemberState
	joinedAt time.Duration
	flaps    int
	// maxRanges is how many separate ranges of hashes the upstream may own, zero for no limit.
	maxRanges int
}

// MemberState tells whether an upstream may be given slices or must hand them over.
type MemberState uint8

// States of an upstream.
const (
	// Ready upstreams may be given slices.
	Ready MemberState = iota
	// Unresponsive upstreams have not renewed their lease recently. They keep their slices and are given none.
	Unresponsive
	// Draining upstreams hand over all their slices.
	Draining
	// Expired upstreams have lost their lease and are of the kind that does not check fencing tokens. Their slices must be
	// moved to others.
	Expired
)

// NewMember returns an upstream. capacity is the number of concurrent requests that it can serve, at least 1; flaps is how
// often it was lost recently.
func NewMember(number uint32, capacity float64, s MemberState, joinedAt time.Duration, flaps int) Member {
	return Member{number: number, capacity: max(capacity, 1), state: s, joinedAt: joinedAt, flaps: flaps}
}

// WithMaxRanges returns the upstream with a limit on the number of separate ranges of hashes that it may own, zero for none.
func (m Member) WithMaxRanges(n int) Member {
	m.maxRanges = n
	return m
}

func (m Member) Number() uint32 { return m.number }

// HotKey is a key with a large share of a service's requests.
type HotKey struct {
	hash uint64
	rate float64
}

// NewHotKey returns a hot key from its hash and its rate in requests per second.
func NewHotKey(hash uint64, rate float64) HotKey { return HotKey{hash: hash, rate: rate} }

// Rate returns the key's rate in requests per second.
func (k HotKey) Rate() float64 { return k.rate }

// View is the input of a policy for one service.
type View struct {
	service string
	set     slice.Set
	rates   []float64
	members []Member
	hot     []HotKey
	weights conf.Weights
	unit    uint64
}

// NewView returns a view. rates holds the requests per second of each slice, in the order of the set.
func NewView(service string, set slice.Set, rates []float64, members []Member, hot []HotKey, weights conf.Weights) View {
	return View{service: service, set: set, rates: rates, members: members, hot: hot, weights: weights, unit: 1}
}

// WithUnit returns the view with splits allowed only at multiples of a unit in the hash space, as a numbered key covers a
// range of hashes that must not be split.
func (v View) WithUnit(unit uint64) View {
	v.unit = unit
	return v
}

// unitStart returns the start of the unit that holds a hash.
func (v View) unitStart(hash uint64) uint64 { return hash / v.unit * v.unit }

// unitEnd returns the last hash of the unit that holds a hash.
func (v View) unitEnd(hash uint64) uint64 { return v.unitStart(hash) + (v.unit - 1) }

// plannedOwner returns the owner of the slice, or the next owner if it is being moved.
func plannedOwner(e slice.Slice) uint32 {
	if e.Moving() {
		return e.Next
	}
	return e.Owner
}

func (v View) operation(kind state.OperationKind, e slice.Slice, to uint32) state.Operation {
	return state.Operation{Kind: kind, Service: v.service, Start: e.Start, Fence: e.Fence, To: to}
}

// moveTo returns the operation that assigns or moves a slice to an upstream. Returns false if the upstream owns the slice or
// the slice is being moved already.
func (v View) moveTo(e slice.Slice, to uint32) (o state.Operation, ok bool) {
	switch {
	case e.Owner == 0:
		return v.operation(state.Assign, e, to), true
	case e.Moving() || e.Owner == to:
		return o, false
	}
	return v.operation(state.BeginMove, e, to), true
}

func (m Member) State() MemberState { return m.state }
