package serve

// connState is the state of one connection as far as it decides which requests begin and which answer is the last. Its methods are the
// only transitions, and none of them blocks; the connection's mutex guards it.
type connState struct {
	// stopping tells that the answers that are due are the last.
	stopping bool
	// idleEnds tells that a connection without a request is to end.
	closeIdle bool
	// finishing tells that a request that is not read whole by now is refused.
	rejectIncomplete bool
	// reading tells that bytes of a request were read that has not begun.
	reading bool
	// due counts the requests that have begun and whose answers are not written.
	outstanding int
	// kept tells that the answer being written leaves the connection open.
	keepAlive bool
	// sealed tells that no further request begins.
	readClosed bool
	// closing tells that the answer being written, or written last, ends the connection.
	closing bool
}

// drain makes the answers that are due the last, and the next one of a connection that is idle.
func (p *connState) drain() { p.stopping = true }

// drainIdle also ends connections that have no request.
func (p *connState) drainIdle() { p.stopping, p.closeIdle = true, true }

// drainIncomplete also ends the reading of requests that have not come whole.
func (p *connState) drainIncomplete() { p.stopping, p.closeIdle, p.rejectIncomplete = true, true, true }

// receive takes in that bytes of a request were read, and reports whether it may still begin.
func (p *connState) receive() bool {
	p.reading = !p.readClosed
	return p.reading
}

// begin counts a request that was read whole, unless an answer before it is to end the connection: the request then counts as not
// read, and its caller sends it again.
func (p *connState) begin() bool {
	p.reading = false
	before := p.outstanding
	if p.keepAlive {
		before--
	}
	if p.readClosed || p.stopping && before > 0 {
		p.readClosed = true
		return false
	}
	p.outstanding++
	return true
}

// closeRead lets no further request begin.
func (p *connState) closeRead() { p.reading, p.readClosed = false, true }

// beginWrite decides whether the answer that is about to be written ends the connection.
func (p *connState) beginWrite(closes bool) (last bool) {
	if closes || (p.stopping || p.readClosed) && p.outstanding == 1 {
		p.readClosed, p.closing = true, true
	}
	p.keepAlive = !p.closing
	return p.closing
}

// endWrite takes an answer off those that are due, and reports whether the connection ends behind it although the answer did not
// say so.
func (p *connState) endWrite() (end bool) {
	p.outstanding--
	p.keepAlive = false
	end = p.readClosed && p.outstanding == 0 && !p.closing
	p.closing = p.closing || end
	return end
}

// idle reports whether a connection neither has a request nor is about to end.
func (p *connState) idle() bool {
	return p.outstanding == 0 && !p.reading && !p.readClosed && !p.closing
}

// drained reports whether a stopping connection has nothing to wait for.
func (p *connState) drained() bool { return p.closeIdle && p.outstanding == 0 && !p.reading }

// mustNotWait reports whether the reader is not to wait for bytes.
func (p *connState) mustNotWait() bool { return !p.readClosed && (p.rejectIncomplete || p.drained()) }
