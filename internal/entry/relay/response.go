package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"

	"ebonyrill.dev/ebonyrill/internal/shared/memory"
)

// How much of a response body is buffered before any of it is sent to the caller, in bytes. As long as nothing has been sent, a request
// whose response is truncated can still be retried.
const (
	bufferedBytes    = 256 << 10
	minBufferedBytes = 4 << 10 // if there is no memory for more
)

// read reads the upstream's response. One without the id of this attempt, or whose body ends only with the connection,
// cannot be proven to be the complete response to this request: its connection is closed and the outcome is unknown.
// The attempt id may only be left out on a connection that carries a single request.
func (h *Handler) read(response *http.Response, attempt string, single bool, cancel context.CancelFunc) *reply {
	echo := response.Header.Get(HeaderAttemptID)
	mismatched := echo != attempt && (echo != "" || !single)
	if mismatched || !endIsDelimited(response) {
		cancel()
		_ = response.Body.Close()
		return unknown(ReasonTruncated)
	}
	if Outcome(response.Header.Get(HeaderOutcome)) == NotRun {
		reason := Reason(response.Header.Get(HeaderReason))
		_, _ = io.CopyN(io.Discard, response.Body, bufferedBytes)
		cancel()
		_ = response.Body.Close()
		return notRun(knownReason(reason))
	}
	return readResponse(response, cancel)
}

// knownReason returns an upstream's reason for not running a request. Upstreams may give only three of the reasons;
// any other becomes ReasonShed.
func knownReason(r Reason) Reason {
	switch r {
	case ReasonFence, ReasonDraining, ReasonShed:
		return r
	}
	return ReasonShed
}

func endIsDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || slices.Contains(r.TransferEncoding, "chunked")
}

// readResponse buffers the start of a response body, up to bufferedBytes; the rest, if any, is left in a stream.
func readResponse(response *http.Response, cancel context.CancelFunc) *reply {
	p := &reply{outcome: Done, status: response.StatusCode, header: response.Header}
	most := int64(bufferedBytes)
	if response.ContentLength >= 0 {
		most = min(most, response.ContentLength+1)
	}
	if most > minBufferedBytes && !memory.Hold(response.Request.Context(), most) {
		most = minBufferedBytes
	}
	var start bytes.Buffer
	_, err := io.CopyN(&start, response.Body, most)
	p.body = start.Bytes()
	if err == nil {
		p.rest = &stream{body: response.Body, cancel: cancel}
		return p
	}
	cancel()
	_ = response.Body.Close()
	if !errors.Is(err, io.EOF) || response.ContentLength > int64(len(p.body)) && response.Request.Method != http.MethodHead {
		return unknown(ReasonTruncated)
	}
	return p
}

// stream is the part of a response body that was not buffered.
type stream struct {
	body    io.ReadCloser
	cancel  context.CancelFunc
	onClose []func()
	closed  bool
}

func (s *stream) close() {
	if s.closed {
		return
	}
	s.closed = true
	s.cancel()
	_ = s.body.Close()
	for _, do := range s.onClose {
		do()
	}
}

// copyTo copies the rest of the body to w and closes the stream.
func (s *stream) copyTo(w io.Writer) (err error) {
	defer s.close()
	_, err = io.Copy(w, s.body)
	return err
}
