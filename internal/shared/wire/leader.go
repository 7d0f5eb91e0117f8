package wire

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// leaderHeader is the response header in which a host that does not lead returns the leader's address.
const leaderHeader = "Ebonyrill-Leader"

// Times for finding a host that responds. The last responding host is used again for a random time between minUse and
// maxUse, so that processes spread over all control hosts again after some were down.
const (
	retryPause = 40 * time.Millisecond
	minUse     = 2 * time.Minute
	maxUse     = 4 * time.Minute
)

// ErrNoLeader is returned by a host that cannot serve a call because it does not lead; Leader is the leader's address, empty
// if unknown.
type ErrNoLeader struct {
	Leader string
}

// Error returns the message.
func (e *ErrNoLeader) Error() string {
	if e.Leader == "" {
		return "this host does not lead and knows no leader"
	}
	return "this host does not lead; the leader is at " + e.Leader
}

// Code returns the Connect error code.
func (e *ErrNoLeader) Code() connect.Code { return connect.CodeUnavailable }

// Hosts finds a control host that responds and remembers its address: the leader, or for renewals and watches any host that
// follows it. It is safe for concurrent use.
type Hosts struct {
	client    *Client
	mutex     sync.Mutex
	addresses []string
	local     []string
	remote    []string
	last      string
	until     time.Time
}

// NewHosts returns a finder with the configured peer addresses.
func NewHosts(client *Client, addresses []string) *Hosts {
	return &Hosts{client: client, addresses: slices.Clone(addresses)}
}

// Client returns the client that makes the calls.
func (h *Hosts) Client() *Client { return h.client }

// Addresses returns the configured peer addresses.
func (h *Hosts) Addresses() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.addresses)
}

// Replace replaces the configured peer addresses after a change of settings.
func (h *Hosts) Replace(addresses []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.addresses = slices.Clone(addresses)
}

// Learn sets the control hosts that the leader has announced, those of the own data centre as local; local ones are tried
// first.
func (h *Hosts) Learn(local, remote []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.local, h.remote = local, remote
}

// Last returns the remembered address of a host that responded, or an empty string.
func (h *Hosts) Last() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if time.Now().After(h.until) {
		h.last = ""
	}
	return h.last
}

// Remember stores the address of a host that responded; an empty string clears it.
func (h *Hosts) Remember(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.last != address {
		h.last, h.until = address, time.Now().Add(minUse+rand.N(maxUse-minUse))
	}
}

// order returns the addresses to try: the remembered one, then the local, remote and configured ones, each group in random
// order.
func (h *Hosts) order() (list []string) {
	if last := h.Last(); last != "" {
		list = append(list, last)
	}
	h.mutex.Lock()
	groups := [][]string{h.local, h.remote, h.addresses}
	h.mutex.Unlock()
	for _, group := range groups {
		for _, i := range rand.Perm(len(group)) {
			if !slices.Contains(list, group[i]) {
				list = append(list, group[i])
			}
		}
	}
	return list
}

// CallLeader calls an idempotent procedure at the leader, or at a host that serves it in the leader's place. It tries hosts
// until the context ends; perAttempt is the time-out of each attempt, which is extended while a large response is being received.
func CallLeader[Req, Res any](ctx context.Context, h *Hosts, perAttempt time.Duration, procedure string, request *Req) (response *Res, err error) {
	return CallLeaderFunc[Req, Res](ctx, h, perAttempt, procedure, func() *Req { return request })
}

// CallLeaderFunc is CallLeader with a function that builds a new request for each attempt.
func CallLeaderFunc[Req, Res any](ctx context.Context, h *Hosts, perAttempt time.Duration, procedure string, request func() *Req) (response *Res, err error) {
	for ctx.Err() == nil {
		var final bool
		if response, final, err = callRound[Req, Res](ctx, h, perAttempt, procedure, request); final {
			return response, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return nil, errors.WithMessage(err, "no control leader answered")
}

// callRound tries each address once and follows hints to the leader's address. Final reports whether the response or the
// error is the leader's own.
func callRound[Req, Res any](ctx context.Context, h *Hosts, perAttempt time.Duration, procedure string, request func() *Req) (response *Res, final bool, err error) {
	list := h.order()
	limit := len(list) + 2
	for i := 0; i < len(list) && i < limit && ctx.Err() == nil; i++ {
		attemptCtx, cancel := h.client.whileReceiving(ctx, perAttempt)
		response, err = Call[Req, Res](attemptCtx, h.client, list[i], procedure, request())
		cancel()
		if err == nil {
			h.Remember(list[i])
			return response, true, nil
		}
		if isFinal(err) {
			return nil, true, err
		}
		if h.Last() == list[i] {
			h.Remember("")
		}
		if hint := leaderHint(err); hint != "" && !slices.Contains(list, hint) {
			list = slices.Insert(list, i+1, hint)
		}
	}
	return nil, false, err
}

// isFinal reports whether the error is the leader's decision; all other errors mean that the leader was not reached.
func isFinal(err error) bool {
	var e *connect.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Code() {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeNotFound, connect.CodeAlreadyExists, connect.CodeAborted:
		return true
	}
	return false
}

// Remote converts the error of a call into one that this host can return to its own caller. It turns an unavailable leader
// into ErrNoLeader, with the leader's address if it is known, and leaves other errors as they are.
func Remote(err error) error {
	var e *connect.Error
	if errors.As(err, &e) && e.Code() == connect.CodeUnavailable {
		return &ErrNoLeader{Leader: leaderHint(err)}
	}
	return err
}

// leaderHint returns the leader's address from the error of a host that does not lead, or an empty string.
func leaderHint(err error) string {
	var e *connect.Error
	if errors.As(err, &e) {
		return e.Meta().Get(leaderHeader)
	}
	return ""
}
