package relay

import (
	"net/http"
	"slices"
	"strings"
)

// HeaderHop marks a request that an entry host sends to a home host, and the response to it.
const HeaderHop = "Ebonyrill-Hop"

// Header names used between callers, entry hosts and upstreams.
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

// Outcome says whether a request was executed by its upstream, as far as that is known.
type Outcome string

// Outcomes. Done: executed, with a complete response. NotRun: certainly not executed. Unknown: may have been executed.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// Reason says why a request has its outcome.
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
	// ReasonOutOfService is for requests whose service has upstreams only in data centres out of service.
	ReasonOutOfService Reason = "outOfService"
)

// hopByHopHeaders are the header fields that concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// RemoveHopByHop removes the hop-by-hop fields of a header, including those that its Connection field names, and the fields in more.
func RemoveHopByHop(h http.Header, more ...string) {
	for _, named := range h["Connection"] {
		for _, name := range strings.Split(named, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range slices.Concat(hopByHopHeaders, more) {
		h.Del(name)
	}
}

// Bytes that HTTP/1.1 adds to each header field and to the request line.
const (
	fieldOverhead = len(": \r\n")
	lineOverhead  = len("  HTTP/1.1\r\n")
)

// headerBytes returns the size of the request line and the header fields on the wire, in bytes.
func headerBytes(r *http.Request) (size int) {
	size = len(r.Method) + len(r.RequestURI) + lineOverhead + len("Host") + len(r.Host) + fieldOverhead
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + fieldOverhead
		}
	}
	return size
}

// forwardedHeader returns a copy of a header without hop-by-hop fields and without ebonyrill's own.
func forwardedHeader(h http.Header) http.Header {
	next := make(http.Header, len(h)+4)
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			next[name] = values
		}
	}
	RemoveHopByHop(next, "Proxy-Authenticate", "Proxy-Authorization")
	return next
}
