package serve

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Stage tells how far a request that was read has come.
type Stage int32

// Stages of a request.
const (
	// StageWaiting is a request that no upstream was sent.
	StageWaiting Stage = iota
	// StageForwarded is a request that an upstream was sent.
	StageForwarded
	// StageResponding is a request whose answer is there and not written whole.
	StageResponding
	stages
)

// String returns the stage's name.
func (s Stage) String() string { return [...]string{"waiting", "passedOn", "answered"}[s] }

// Cause tells why a connection ended before all its answers were written.
type Cause string

// Causes.
const (
	CauseCallerClosed  Cause = "callerClosed"
	CauseCallerTimeout Cause = "callerSilent"
	CauseWriteFailed   Cause = "writeFailed"
	CauseTruncated     Cause = "truncated"
	CauseNoResponse    Cause = "noAnswer"
	CauseStopped       Cause = "stopped"
	CauseLastResponse  Cause = "closedByAnswer"
)

// Unanswered tells of a connection that ended while requests that were read had no complete answer.
type Unanswered struct {
	Remote   string
	Cause    Cause
	Err      error
	Requests []*Request
	counts   [stages]int
}

// Count returns how many of the requests had come to a stage when the connection ended.
func (u *Unanswered) Count(s Stage) (n int) { return u.counts[s] }

// add takes in a request as it stands.
func (u *Unanswered) add(r *Request) {
	u.Requests = append(u.Requests, r)
	u.counts[r.Stage()]++
}

// progress is the stage of a request, which its handler and its connection set.
type progress struct {
	stage atomic.Int32
}

// Stage returns how far the request has come.
func (p *progress) Stage() Stage { return Stage(p.stage.Load()) }

// SetStage notes how far the request has come.
func (p *progress) SetStage(s Stage) { p.stage.Store(int32(s)) }

// errRest is returned when the rest of an answer cannot be read from where it comes.
type errRest struct {
	cause error
}

// Error returns the message.
func (e *errRest) Error() string { return "read the rest of an answer: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *errRest) Unwrap() error { return e.cause }

// causeOf returns what a failed write of an answer tells.
func causeOf(err error) Cause {
	var rest *errRest
	switch {
	case errors.As(err, &rest):
		return CauseTruncated
	case errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE):
		return CauseCallerClosed
	case isTimeout(err):
		return CauseCallerTimeout
	}
	return CauseWriteFailed
}

// cut ends what is due on a connection without answers, and tells of it once.
func (c *conn) cut(cause Cause, err error) {
	c.mutex.Lock()
	u := &Unanswered{Remote: c.raw.RemoteAddr().String(), Cause: cause, Err: err}
	if !c.told {
		for _, x := range c.due {
			if x.request != nil {
				u.add(x.request)
			}
		}
	}
	c.told = c.told || len(u.Requests) > 0
	c.mutex.Unlock()
	if len(u.Requests) > 0 && c.server.options.OnUnanswered != nil {
		c.server.options.OnUnanswered(u)
	}
	c.cancel()
}
