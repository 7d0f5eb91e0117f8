package relay

import (
	"net/http"
	"slices"
	"strings"
)

// HeaderHop marks a caller's request that another entry host passes on, and its answer.
const HeaderHop = "Ebonyrill-Hop"

// Headers of callers, upstreams and entry hosts.
const (
	HeaderRequestID = "Ebonyrill-Request-Id"
	HeaderAttempt   = "Ebonyrill-Attempt"
	HeaderTimeout   = "Ebonyrill-Timeout"
	HeaderOutcome   = "Ebonyrill-Outcome"
	HeaderReason    = "Ebonyrill-Reason"
	HeaderDuplicate = "Ebonyrill-Duplicate"
	HeaderFence     = "Ebonyrill-Fence"
	HeaderKeyHash   = "Ebonyrill-Key-Hash"
	HeaderDeadline  = "Ebonyrill-Deadline"
	HeaderAttemptID = "Ebonyrill-Attempt-Id"
	headerService   = "Ebonyrill-Service"
	headerCaller    = "Ebonyrill-Caller"
	headerVersion   = "Ebonyrill-Version"
	headerPrefix    = "Ebonyrill-"
)

// Outcome is what is known of whether a request ran.
type Outcome string

// Outcomes.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// Reason tells why a request got its outcome.
type Reason string

// Reasons.
const (
	ReasonFence       Reason = "fence"
	ReasonDraining    Reason = "draining"
	ReasonShed        Reason = "shed"
	ReasonMoved       Reason = "moved"
	ReasonUnreachable Reason = "unreachable"
	ReasonTimeout     Reason = "timeout"
	ReasonTruncated   Reason = "truncated"
	ReasonBroken      Reason = "broken"
	ReasonAmbiguous   Reason = "ambiguousId"
	ReasonNoOwner     Reason = "noOwner"
	ReasonNoService   Reason = "noService"
	ReasonNoKey       Reason = "noKey"
	ReasonBadRequest  Reason = "badRequest"
	ReasonTooLarge    Reason = "tooLarge"
	ReasonNotReady    Reason = "notReady"
	ReasonRetries     Reason = "retriesSpent"
	ReasonStopping    Reason = "stopping"
)

// hopHeaders are the headers of one connection, which are not passed on.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// RemoveHopByHop removes the fields of a header that concern one connection only, those that its Connection field names among them,
// and more.
func RemoveHopByHop(h http.Header, more ...string) {
	for _, named := range h["Connection"] {
		for _, name := range strings.Split(named, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range slices.Concat(hopHeaders, more) {
		h.Del(name)
	}
}

// Bytes that HTTP adds to each header field and to the request line.
const (
	fieldOverhead = len(": \r\n")
	lineOverhead  = len("  HTTP/1.1\r\n")
)

// headerBytes returns the size of a request's line and header fields.
func headerBytes(r *http.Request) (size int) {
	size = len(r.Method) + len(r.RequestURI) + lineOverhead + len("Host") + len(r.Host) + fieldOverhead
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + fieldOverhead
		}
	}
	return size
}

// passedOn returns a copy of a header without what belongs to one connection and without ebonyrill's own names.
func passedOn(h http.Header) http.Header {
	next := make(http.Header, len(h)+4)
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			next[name] = values
		}
	}
	RemoveHopByHop(next, "Proxy-Authenticate", "Proxy-Authorization")
	return next
}
