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
func (w modelState) steps() (list []step) {
	add := func(name string, ok bool, change func(n *modelState)) {
		if ok {
			n := w
			change(&n)
			list = append(list, step{name, n})
		}
	}
	open := !w.callerClosed && !w.ended
	add("caller closes", !w.callerClosed, func(n *modelState) { n.callerClosed = true })
	add("drain begins", !w.draining, func(n *modelState) { n.draining = true; n.state.drain() })
	add("idle connections end", w.draining && !w.closeIdle, func(n *modelState) { n.closeIdle = true; n.state.drainIdle() })
	add("incomplete requests are rejected", w.draining && !w.rejectIncomplete, func(n *modelState) { n.rejectIncomplete = true; n.state.drainIncomplete() })
	add("bytes are read", open && w.reader == readerWaits && w.sent < maxRequests, func(n *modelState) { n.reader = readerHasBytes; n.sent++ })
	add("bytes are noted", w.reader == readerHasBytes, func(n *modelState) { n.reader = pick(n.state.receive(), readerReads, readerDiscards) })
	add("request is complete", w.reader == readerReads, func(n *modelState) {
		n.reader = readerDiscards
		if n.state.begin() {
			n.reader = readerWaits
			n.begun++
		}
	})
	add("request is late", w.reader == readerReads && w.rejectIncomplete, func(n *modelState) {
		if n.state.begin() {
			n.ready[n.begun] = true
			n.begun++
		}
		n.state.closeRead()
		n.reader = readerDiscards
	})
	add("reader is interrupted", w.reader == readerWaits && w.state.mustNotWait(), func(n *modelState) { n.reader = readerInterrupted })
	add("nothing is pending", w.reader == readerInterrupted, func(n *modelState) {
		n.reader = pick(n.state.outstanding > 0, readerDiscards, readerEnds)
		n.state.closeRead()
	})
	add("something is pending", w.reader == readerInterrupted && open && w.sent < maxRequests, func(n *modelState) { n.reader = readerHasBytes; n.sent++ })
	for i := w.written; i < w.begun; i++ {
		add(fmt.Sprint("response is ready ", i), !w.ready[i], func(n *modelState) { n.ready[i] = true })
	}
	add("response is being written", !w.writing && !w.ended && w.written < w.begun && w.ready[w.written], func(n *modelState) {
		n.writing = true
		n.last = n.state.beginWrite(false)
	})
	add("response is written", w.writing, func(n *modelState) {
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
func (w modelState) stuck(steps []step) bool {
	for _, s := range steps {
		if s.name != "caller closes" && s.name != "bytes are read" && s.name != "incomplete requests are rejected" && s.name != "idle connections end" {
			return false
		}
	}
	return w.draining
}

// fault returns which rule a state violates, or an empty text.
func (w modelState) fault(stuck bool) string {
	switch {
	case w.ended && w.written < w.begun:
		return "the connection ends before the response to a request that began"
	case w.state.outstanding != w.begun-w.written:
		return "the count of outstanding requests is wrong"
	case stuck && w.written < w.begun:
		return "a request that began never gets a response"
	case stuck && !w.ended && w.reader != readerEnds && !w.state.idle():
		return "a connection that is not idle does not end after the drain"
	case stuck && (w.closeIdle || w.rejectIncomplete) && !w.ended && w.reader != readerEnds:
		return "an idle connection does not end although it is to be closed"
	case w.reader == readerEnds && !w.closeIdle && !w.rejectIncomplete:
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
		w := queue[0]
		steps := w.steps()
		if fault := w.fault(w.stuck(steps)); fault != "" {
			path := []string{}
			for at := w; at != start; at = from[at].before {
				path = append([]string{from[at].name}, path...)
			}
			c.Fatalf("%s, after: %q", fault, path)
		}
		for _, s := range steps {
			if _, known := from[s.next]; !known {
				from[s.next] = origin{w, s.name}
				queue = append(queue, s.next)
			}
		}
	}
	c.Logf("%d states", len(from))
	c.Check(len(from) > 1000, qt.IsTrue)
}
