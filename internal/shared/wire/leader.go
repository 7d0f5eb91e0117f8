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

// leaderHeader carries the address of the leader in the answer of a host that does not lead.
const leaderHeader = "Ebonyrill-Leader"

// Times of finding a host that answers; one is kept for a time that differs between processes, so that they spread over
// all control hosts again after some were down.
const (
	retryPause  = 40 * time.Millisecond
	shortestUse = 2 * time.Minute
	longestUse  = 4 * time.Minute
)

// ErrNoLeader is returned by a host that cannot answer because it does not lead; Leader is the address it follows.
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

// Code returns the code that crosses the wire.
func (e *ErrNoLeader) Code() connect.Code { return connect.CodeUnavailable }

// Hosts finds a control host that answers among a list of addresses and remembers it: the leader, or for renewals and
// watches any host that follows it.
type Hosts struct {
	client    *Client
	mutex     sync.Mutex
	addresses []string
	near      []string
	learned   []string
	last      string
	until     time.Time
}

// NewHosts returns a finder over the peer addresses.
func NewHosts(client *Client, addresses []string) *Hosts {
	return &Hosts{client: client, addresses: slices.Clone(addresses)}
}

// Client returns the client that calls are made with.
func (h *Hosts) Client() *Client { return h.client }

// Addresses returns the peer addresses that were given.
func (h *Hosts) Addresses() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.addresses)
}

// Replace changes the addresses that were given, as settings have changed.
func (h *Hosts) Replace(addresses []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.addresses = slices.Clone(addresses)
}

// Learn notes the control hosts that control itself tells of; near ones are tried first.
func (h *Hosts) Learn(near, far []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.near, h.learned = near, far
}

// Last returns the address that answered last, or an empty text.
func (h *Hosts) Last() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if time.Now().After(h.until) {
		h.last = ""
	}
	return h.last
}

// Remember notes which address answers; an empty text forgets it.
func (h *Hosts) Remember(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.last != address {
		h.last, h.until = address, time.Now().Add(shortestUse+rand.N(longestUse-shortestUse))
	}
}

// order returns the addresses to try: the remembered one, then the others by chance.
func (h *Hosts) order() (list []string) {
	if last := h.Last(); last != "" {
		list = append(list, last)
	}
	h.mutex.Lock()
	groups := [][]string{h.near, h.learned, h.addresses}
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

// CallLeader performs an idempotent procedure at the leader, or at a host that answers in its place, looking for it until
// the context ends; each try is bounded by perTry.
func CallLeader[Req, Res any](ctx context.Context, h *Hosts, perTry time.Duration, procedure string, request *Req) (answer *Res, err error) {
	return CallLeaderFunc[Req, Res](ctx, h, perTry, procedure, func() *Req { return request })
}

// CallLeaderFunc does what CallLeader does with a request that is made anew for each try.
func CallLeaderFunc[Req, Res any](ctx context.Context, h *Hosts, perTry time.Duration, procedure string, request func() *Req) (answer *Res, err error) {
	for ctx.Err() == nil {
		var final bool
		if answer, final, err = callRound[Req, Res](ctx, h, perTry, procedure, request); final {
			return answer, err
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

// callRound tries each address once and follows hints; final tells that the answer or the error is the leader's own.
func callRound[Req, Res any](ctx context.Context, h *Hosts, perTry time.Duration, procedure string, request func() *Req) (answer *Res, final bool, err error) {
	list := h.order()
	limit := len(list) + 2
	for i := 0; i < len(list) && i < limit && ctx.Err() == nil; i++ {
		tryCtx, cancel := context.WithTimeout(ctx, perTry)
		answer, err = Call[Req, Res](tryCtx, h.client, list[i], procedure, request())
		cancel()
		if err == nil {
			h.Remember(list[i])
			return answer, true, nil
		}
		if answered(err) {
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

// answered reports whether the error is a decision of the leader and not a sign that it could not be reached.
func answered(err error) bool {
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

// Remote returns an error of another host as the error that this host would return, so that it can be passed on; only the
// absence of a leader has a form of its own.
func Remote(err error) error {
	var e *connect.Error
	if errors.As(err, &e) && e.Code() == connect.CodeUnavailable {
		return &ErrNoLeader{Leader: leaderHint(err)}
	}
	return err
}

func leaderHint(err error) string {
	var e *connect.Error
	if errors.As(err, &e) {
		return e.Meta().Get(leaderHeader)
	}
	return ""
}
