package place

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Policy plans operations from a view.
type Policy[V, O any] interface {
	Plan(now time.Duration, view V) []O
}

// Member is an upstream as placement sees it.
type Member struct {
	number   uint32
	capacity float64
	state    MemberState
	joinedAt time.Duration
	flaps    int
}

// MemberState tells what may be done with an upstream.
type MemberState uint8

// States of an upstream.
const (
	// Ready upstreams may be given slices.
	Ready MemberState = iota
	// Unresponsive upstreams keep what they have and are given nothing.
	Unresponsive
	// Draining upstreams hand over all they have.
	Draining
	// Expired upstreams do not check fences and have lost their lease; what they have must go to others.
	Expired
)

// NewMember returns an upstream with its capacity in requests at a time; flaps counts its recent losses.
func NewMember(number uint32, capacity float64, s MemberState, joinedAt time.Duration, flaps int) Member {
	return Member{number: number, capacity: max(capacity, 1), state: s, joinedAt: joinedAt, flaps: flaps}
}

// Number returns the upstream's number.
func (m Member) Number() uint32 { return m.number }

// HotKey is a key that draws a large part of a service's requests.
type HotKey struct {
	hash uint64
	rate float64
}

// NewHotKey returns a key's hash with its requests per second.
func NewHotKey(hash uint64, rate float64) HotKey { return HotKey{hash: hash, rate: rate} }

// Rate returns the key's requests per second.
func (k HotKey) Rate() float64 { return k.rate }

// View is what a policy knows of one service.
type View struct {
	service string
	set     slice.Set
	rates   []float64
	members []Member
	hot     []HotKey
	weights conf.Weights
	unit    uint64
}

// NewView returns a view; rates holds the requests per second of each slice in order.
func NewView(service string, set slice.Set, rates []float64, members []Member, hot []HotKey, weights conf.Weights) View {
	return View{service: service, set: set, rates: rates, members: members, hot: hot, weights: weights, unit: 1}
}

// WithUnit returns the view with cuts allowed only at multiples of a width in the hash space.
func (v View) WithUnit(unit uint64) View {
	v.unit = unit
	return v
}

// floor returns the start of the unit that holds a hash.
func (v View) floor(hash uint64) uint64 { return hash / v.unit * v.unit }

// last returns the last hash of the unit that holds a hash.
func (v View) last(hash uint64) uint64 { return v.floor(hash) + (v.unit - 1) }

// planned returns the upstream that will own the slice once its move is done.
func planned(e slice.Slice) uint32 {
	if e.Moving() {
		return e.Next
	}
	return e.Owner
}

func (v View) operation(kind state.OperationKind, e slice.Slice, to uint32) state.Operation {
	return state.Operation{Kind: kind, Service: v.service, Start: e.Start, Fence: e.Fence, To: to}
}

// moveTo returns the operation that brings a slice to an upstream, or false where it is there or on its way already.
func (v View) moveTo(e slice.Slice, to uint32) (o state.Operation, ok bool) {
	switch {
	case e.Owner == 0:
		return v.operation(state.Assign, e, to), true
	case e.Moving() || e.Owner == to:
		return o, false
	}
	return v.operation(state.BeginMove, e, to), true
}

// State returns what may be done with the upstream.
func (m Member) State() MemberState { return m.state }
