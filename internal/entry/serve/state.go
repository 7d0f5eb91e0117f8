package serve

// connState is the part of a connection's state that decides which requests are handled and which response is the last. Its
// methods are its only transitions and do not block; the connection's mutex guards it. A request begins when it has been
// read completely, or is rejected because it cannot be; it is outstanding until its response is written.
type connState struct {
	// draining is set when the server drains: the outstanding responses are the last.
	draining bool
	// closeIdle is set when a connection without a request is to be closed.
	closeIdle bool
	// rejectIncomplete is set when a request that has not been read completely is to be rejected.
	rejectIncomplete bool
	// reading is set while a request has been read in part.
	reading bool
	// outstanding counts the requests that have begun and whose responses are not written.
	outstanding int
	// keepAlive is set while a response is written that leaves the connection open, and thus can no longer be the last.
	keepAlive bool
	// readClosed is set when no further request begins.
	readClosed bool
	// closing is set when the response being written, or written last, ends the connection.
	closing bool
}

// drain makes the outstanding responses the last ones, and on an idle connection the next response.
func (s *connState) drain() { s.draining = true }

// drainIdle also closes connections that have no request.
func (s *connState) drainIdle() { s.draining, s.closeIdle = true, true }

// drainIncomplete also rejects requests that have not been read completely.
func (s *connState) drainIncomplete() { s.draining, s.closeIdle, s.rejectIncomplete = true, true, true }

// receive notes that the first byte of a request was read, and reports whether the request may still begin.
func (s *connState) receive() bool {
	s.reading = !s.readClosed
	return s.reading
}

// begin adds a request that was read completely to those outstanding, and reports true. It reports false if an earlier
// response is to end the connection: the request is not handled, and its caller can safely resend it.
func (s *connState) begin() bool {
	s.reading = false
	before := s.outstanding
	if s.keepAlive {
		before--
	}
	if s.readClosed || s.draining && before > 0 {
		s.readClosed = true
		return false
	}
	s.outstanding++
	return true
}

// closeRead makes the requests that have begun the last ones.
func (s *connState) closeRead() { s.reading, s.readClosed = false, true }

// beginWrite reports whether the response that is about to be written ends the connection; closes tells that the response
// itself asks for that.
func (s *connState) beginWrite(closes bool) (last bool) {
	if closes || (s.draining || s.readClosed) && s.outstanding == 1 {
		s.readClosed, s.closing = true, true
	}
	s.keepAlive = !s.closing
	return s.closing
}

// endWrite removes a request from those outstanding, and reports whether the connection ends after its response although
// the response was not sent with Connection: close.
func (s *connState) endWrite() (end bool) {
	s.outstanding--
	s.keepAlive = false
	end = s.readClosed && s.outstanding == 0 && !s.closing
	s.closing = s.closing || end
	return end
}

// idle reports whether the connection has no request and is not about to end.
func (s *connState) idle() bool {
	return s.outstanding == 0 && !s.reading && !s.readClosed && !s.closing
}

// drained reports whether the connection has no request and is to be closed because of that.
func (s *connState) drained() bool { return s.closeIdle && s.outstanding == 0 && !s.reading }

// mustNotWait reports whether the reader must not wait for input.
func (s *connState) mustNotWait() bool { return !s.readClosed && (s.rejectIncomplete || s.drained()) }
