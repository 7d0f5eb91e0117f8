package serve

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// maxRequests is how many requests a caller of the walk sends.
const maxRequests = 4

// Places of the reader of the walk.
const (
	readerWaits = iota // for the first byte of a request
	readerHasBytes
	readerReads
	readerInterrupted
	readerDiscards // what comes, until the connection ends
	readerEnds     // the connection
)

// modelState is one state of a connection: its phases, where its reader and its writer stand, and what has become of each request.
type modelState struct {
	p        connState
	reader   int
	sent     int                   // requests of which bytes were read
	begun    int                   // requests that began
	ready    [maxRequests + 1]bool // answers that are there
	written  int                   // answers that were written
	writing  bool
	last     bool // the answer being written is the last
	ended    bool // the writer has closed
	gone     bool // the caller has closed
	stopped  bool
	idleEnds bool
	finished bool
}

// step is one thing that can happen.
type step struct {
	name string
	next modelState
}

// steps returns all that can happen in a state.
func (w modelState) steps() (list []step) {
	add := func(name string, ok bool, change func(n *modelState)) {
		if ok {
			n := w
			change(&n)
			list = append(list, step{name, n})
		}
	}
	open := !w.gone && !w.ended
	add("caller closes", !w.gone, func(n *modelState) { n.gone = true })
	add("stop begins", !w.stopped, func(n *modelState) { n.stopped = true; n.p.drain() })
	add("idle connections end", w.stopped && !w.idleEnds, func(n *modelState) { n.idleEnds = true; n.p.drainIdle() })
	add("stop finishes", w.stopped && !w.finished, func(n *modelState) { n.finished = true; n.p.drainIncomplete() })
	add("bytes are read", open && w.reader == readerWaits && w.sent < maxRequests, func(n *modelState) { n.reader = readerHasBytes; n.sent++ })
	add("bytes are noted", w.reader == readerHasBytes, func(n *modelState) { n.reader = pick(n.p.receive(), readerReads, readerDiscards) })
	add("request is whole", w.reader == readerReads, func(n *modelState) {
		n.reader = readerDiscards
		if n.p.begin() {
			n.reader = readerWaits
			n.begun++
		}
	})
	add("request is late", w.reader == readerReads && w.finished, func(n *modelState) {
		if n.p.begin() {
			n.ready[n.begun] = true
			n.begun++
		}
		n.p.closeRead()
		n.reader = readerDiscards
	})
	add("reader wakes", w.reader == readerWaits && w.p.mustNotWait(), func(n *modelState) { n.reader = readerInterrupted })
	add("nothing is pending", w.reader == readerInterrupted, func(n *modelState) {
		n.reader = pick(n.p.outstanding > 0, readerDiscards, readerEnds)
		n.p.closeRead()
	})
	add("something is pending", w.reader == readerInterrupted && open && w.sent < maxRequests, func(n *modelState) { n.reader = readerHasBytes; n.sent++ })
	for i := w.written; i < w.begun; i++ {
		add(fmt.Sprint("answer is ready ", i), !w.ready[i], func(n *modelState) { n.ready[i] = true })
	}
	add("answer is being written", !w.writing && !w.ended && w.written < w.begun && w.ready[w.written], func(n *modelState) {
		n.writing = true
		n.last = n.p.beginWrite(false)
	})
	add("answer is written", w.writing, func(n *modelState) {
		n.writing = false
		n.written++
		n.ended = n.p.endWrite() || n.last
	})
	return list
}

func pick(ok bool, yes, no int) int {
	if ok {
		return yes
	}
	return no
}

// stuck reports whether a stopping connection comes to its end only if its caller or the bound of the stop does something.
func (w modelState) stuck(steps []step) bool {
	for _, s := range steps {
		if s.name != "caller closes" && s.name != "bytes are read" && s.name != "stop finishes" && s.name != "idle connections end" {
			return false
		}
	}
	return w.stopped
}

// fault returns what a state breaks, or an empty text.
func (w modelState) fault(stuck bool) string {
	switch {
	case w.ended && w.written < w.begun:
		return "the connection ends before the answer to a request that began"
	case w.p.outstanding != w.begun-w.written:
		return "answers are counted wrong"
	case stuck && w.written < w.begun:
		return "a request that began is never answered"
	case stuck && !w.ended && w.reader != readerEnds && !w.p.idle():
		return "the connection outlives its stop"
	case stuck && (w.idleEnds || w.finished) && !w.ended && w.reader != readerEnds:
		return "an idle connection outlives its stop"
	case w.reader == readerEnds && !w.idleEnds && !w.finished:
		return "an idle connection ends while others have requests"
	}
	return ""
}

// TestShutdownModelAnswersEveryBegunRequest walks through every order in which bytes, whole requests, answers, writes, the phases of a
// stop and the caller's end can come: what began is answered, what did not begin was never passed on, and each connection ends.
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
