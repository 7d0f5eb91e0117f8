package serve

// phases is the state of one connection as far as it decides which requests begin and which answer is the last. Its methods are the
// only transitions, and none of them blocks; the connection's mutex guards it.
type phases struct {
	// stopping tells that the answers that are due are the last.
	stopping bool
	// idleEnds tells that a connection without a request is to end.
	idleEnds bool
	// finishing tells that a request that is not read whole by now is refused.
	finishing bool
	// reading tells that bytes of a request were read that has not begun.
	reading bool
	// due counts the requests that have begun and whose answers are not written.
	due int
	// kept tells that the answer being written leaves the connection open.
	kept bool
	// sealed tells that no further request begins.
	sealed bool
	// closing tells that the answer being written, or written last, ends the connection.
	closing bool
}

// stop makes the answers that are due the last, and the next one of a connection that is idle.
func (p *phases) stop() { p.stopping = true }

// endIdle also ends connections that have no request.
func (p *phases) endIdle() { p.stopping, p.idleEnds = true, true }

// finish also ends the reading of requests that have not come whole.
func (p *phases) finish() { p.stopping, p.idleEnds, p.finishing = true, true, true }

// arrive takes in that bytes of a request were read, and reports whether it may still begin.
func (p *phases) arrive() bool {
	p.reading = !p.sealed
	return p.reading
}

// begin counts a request that was read whole, unless an answer before it is to end the connection: the request then counts as not
// read, and its caller sends it again.
func (p *phases) begin() bool {
	p.reading = false
	before := p.due
	if p.kept {
		before--
	}
	if p.sealed || p.stopping && before > 0 {
		p.sealed = true
		return false
	}
	p.due++
	return true
}

// seal lets no further request begin.
func (p *phases) seal() { p.reading, p.sealed = false, true }

// write decides whether the answer that is about to be written ends the connection.
func (p *phases) write(closes bool) (last bool) {
	if closes || (p.stopping || p.sealed) && p.due == 1 {
		p.sealed, p.closing = true, true
	}
	p.kept = !p.closing
	return p.closing
}

// written takes an answer off those that are due, and reports whether the connection ends behind it although the answer did not
// say so.
func (p *phases) written() (end bool) {
	p.due--
	p.kept = false
	end = p.sealed && p.due == 0 && !p.closing
	p.closing = p.closing || end
	return end
}

// idle reports whether a connection neither has a request nor is about to end.
func (p *phases) idle() bool { return p.due == 0 && !p.reading && !p.sealed && !p.closing }

// over reports whether a stopping connection has nothing to wait for.
func (p *phases) over() bool { return p.idleEnds && p.due == 0 && !p.reading }

// mustHurry reports whether the reader is not to wait for bytes.
func (p *phases) mustHurry() bool { return !p.sealed && (p.finishing || p.over()) }
