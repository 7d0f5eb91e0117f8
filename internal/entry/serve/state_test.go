package serve

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// maxRequests is how many requests the caller in the model sends at most.
const maxRequests = 4

// States of the connection's reader in the model.
const (
	readerWaits = iota // for the first byte of a request
	readerHasBytes
	readerReads
	readerInterrupted
	readerDiscards // input until the connection ends
	readerEnds     // the connection
)

// modelState is one state of the model: the connState, the states of the reader and the writer, and how far each request has come.
type modelState struct {
	state            connState
	reader           int
	sent             int                   // requests that were read in part or completely
	begun            int                   // requests that began
	ready            [maxRequests + 1]bool // by request: its handler has returned the response
	written          int                   // responses that were written
	writing          bool
	last             bool // the response being written ends the connection
	ended            bool // the writer has ended the connection
	callerClosed     bool // the caller has closed the connection
	draining         bool
	closeIdle        bool
	rejectIncomplete bool
}

// step is an event and the state after it.
type step struct {
	name string
	next modelState
}

// steps returns the events that are possible in a state.
func (m modelState) steps() (list []step) {
	add := func(name string, ok bool, change func(n *modelState)) {
		if ok {
			n := m
			change(&n)
			list = append(list, step{name, n})
		}
	}
	open := !m.callerClosed && !m.ended
	add("caller closes", !m.callerClosed, func(n *modelState) { n.callerClosed = true })
	add("drain begins", !m.draining, func(n *modelState) { n.draining = true; n.state.drain() })
	add("idle connections end", m.draining && !m.closeIdle, func(n *modelState) { n.closeIdle = true; n.state.drainIdle() })
	add("incomplete requests are rejected", m.draining && !m.rejectIncomplete, func(n *modelState) { n.rejectIncomplete = true; n.state.drainIncomplete() })
	add("bytes are read", open && m.reader == readerWaits && m.sent < maxRequests, func(n *modelState) { n.reader = readerHasBytes; n.sent++ })
	add("bytes are noted", m.reader == readerHasBytes, func(n *modelState) { n.reader = pick(n.state.receive(), readerReads, readerDiscards) })
	add("request is complete", m.reader == readerReads, func(n *modelState) {
		n.reader = readerDiscards
		if n.state.begin() {
			n.reader = readerWaits
			n.begun++
		}
	})
	add("request is late", m.reader == readerReads && m.rejectIncomplete, func(n *modelState) {
		if n.state.begin() {
			n.ready[n.begun] = true
			n.begun++
		}
		n.state.closeRead()
		n.reader = readerDiscards
	})
	add("reader is interrupted", m.reader == readerWaits && m.state.mustNotWait(), func(n *modelState) { n.reader = readerInterrupted })
	add("nothing is pending", m.reader == readerInterrupted, func(n *modelState) {
		n.reader = pick(n.state.outstanding > 0, readerDiscards, readerEnds)
		n.state.closeRead()
	})
	add("something is pending", m.reader == readerInterrupted && open && m.sent < maxRequests, func(n *modelState) { n.reader = readerHasBytes; n.sent++ })
	for i := m.written; i < m.begun; i++ {
		add(fmt.Sprint("response is ready ", i), !m.ready[i], func(n *modelState) { n.ready[i] = true })
	}
	add("response is being written", !m.writing && !m.ended && m.written < m.begun && m.ready[m.written], func(n *modelState) {
		n.writing = true
		n.last = n.state.beginWrite(false)
	})
	add("response is written", m.writing, func(n *modelState) {
		n.writing = false
		n.written++
		n.ended = n.state.endWrite() || n.last
	})
	return list
}

func pick(ok bool, yes, no int) int {
	if ok {
		return yes
	}
	return no
}

// stuck reports whether a draining connection can end only by an event from outside: of its caller, or of a later phase of the
// shutdown.
func (m modelState) stuck(steps []step) bool {
	for _, s := range steps {
		if s.name != "caller closes" && s.name != "bytes are read" && s.name != "incomplete requests are rejected" && s.name != "idle connections end" {
			return false
		}
	}
	return m.draining
}

// fault returns which rule a state violates, or an empty text.
func (m modelState) fault(stuck bool) string {
	switch {
	case m.ended && m.written < m.begun:
		return "the connection ends before the response to a request that began"
	case m.state.outstanding != m.begun-m.written:
		return "the count of outstanding requests is wrong"
	case stuck && m.written < m.begun:
		return "a request that began never gets a response"
	case stuck && !m.ended && m.reader != readerEnds && !m.state.idle():
		return "a connection that is not idle does not end after the drain"
	case stuck && (m.closeIdle || m.rejectIncomplete) && !m.ended && m.reader != readerEnds:
		return "an idle connection does not end although it is to be closed"
	case m.reader == readerEnds && !m.closeIdle && !m.rejectIncomplete:
		return "an idle connection ends before idle connections are to be closed"
	}
	return ""
}

// TestShutdownModelAnswersEveryBegunRequest explores every order in which input, complete requests, responses, writes, the
// phases of a shutdown and a close by the caller can occur. Each request that began must get a response, no other may be
// handled, and each connection must end.
func TestShutdownModelAnswersEveryBegunRequest(t *testing.T) {
	c := qt.New(t)
	type origin struct {
		before modelState
		name   string
	}
	start := modelState{}
	from := map[modelState]origin{start: {}}
	for queue := []modelState{start}; len(queue) > 0; queue = queue[1:] {
		m := queue[0]
		steps := m.steps()
		if fault := m.fault(m.stuck(steps)); fault != "" {
			path := []string{}
			for at := m; at != start; at = from[at].before {
				path = append([]string{from[at].name}, path...)
			}
			c.Fatalf("%s, after: %q", fault, path)
		}
		for _, s := range steps {
			if _, known := from[s.next]; !known {
				from[s.next] = origin{m, s.name}
				queue = append(queue, s.next)
			}
		}
	}
	c.Logf("%d states", len(from))
	c.Check(len(from) > 1000, qt.IsTrue)
}
