package serve

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Stage is how far the processing of a request has come.
type Stage int32

// Stages of a request.
const (
	// StageWaiting is a request that was not sent to an upstream.
	StageWaiting Stage = iota
	// StageForwarded is a request that was sent to an upstream.
	StageForwarded
	// StageResponding is a request whose handler has returned a response that is not completely written.
	StageResponding
	stages
)

// String returns the stage's name.
func (s Stage) String() string { return [...]string{"waiting", "passedOn", "answered"}[s] }

// Cause is why a connection ended before all its responses were written.
type Cause string

// Causes. CauseCallerTimeout: the caller did not read a response within the write timeout. CauseTruncated: the body of a
// response could not be read completely. CauseNoResponse: a handler returned none. CauseStopped: the server closed.
// CauseLastResponse: a response to an earlier request ended the connection.
const (
	CauseCallerClosed  Cause = "callerClosed"
	CauseCallerTimeout Cause = "callerSilent"
	CauseWriteFailed   Cause = "writeFailed"
	CauseTruncated     Cause = "truncated"
	CauseNoResponse    Cause = "noAnswer"
	CauseStopped       Cause = "stopped"
	CauseLastResponse  Cause = "closedByAnswer"
)

// Unanswered describes a connection that ended while requests that were read had no complete response.
type Unanswered struct {
	Remote   string
	Cause    Cause
	Err      error
	Requests []*Request
	counts   [stages]int
}

// Count returns how many of the requests were at the stage when the connection ended.
func (u *Unanswered) Count(s Stage) (n int) { return u.counts[s] }

// add adds a request with its present stage.
func (u *Unanswered) add(r *Request) {
	u.Requests = append(u.Requests, r)
	u.counts[r.Stage()]++
}

// progress is the stage of a request; the handler and the connection set it.
type progress struct {
	stage atomic.Int32
}

// Stage returns the stage of the request.
func (p *progress) Stage() Stage { return Stage(p.stage.Load()) }

// SetStage sets the stage of the request.
func (p *progress) SetStage(s Stage) { p.stage.Store(int32(s)) }

// errReadRest is returned when the rest of a response body cannot be read from its source.
type errReadRest struct {
	cause error
}

// Error returns the message.
func (e *errReadRest) Error() string { return "read the rest of a response body: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *errReadRest) Unwrap() error { return e.cause }

// writeFailureCause returns the cause for an error of writing a response.
func writeFailureCause(err error) Cause {
	var rest *errReadRest
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

// endUnanswered cancels the outstanding requests and reports them once, through OnUnanswered.
func (c *conn) endUnanswered(cause Cause, err error) {
	c.mutex.Lock()
	u := &Unanswered{Remote: c.raw.RemoteAddr().String(), Cause: cause, Err: err}
	if !c.reported {
		for _, x := range c.outstanding {
			if x.request != nil {
				u.add(x.request)
			}
		}
	}
	c.reported = c.reported || len(u.Requests) > 0
	c.mutex.Unlock()
	if len(u.Requests) > 0 && c.server.options.OnUnanswered != nil {
		c.server.options.OnUnanswered(u)
	}
	c.cancel()
}
