package group

import (
	"math/rand/v2"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// evacuationCall is a call that took a data centre out of service or back. The index is that of its log entry, zero if it was not proposed.
type evacuationCall struct {
	dataCentre string
	out        bool
	index      uint64
	acked      bool
	changed    bool
	ackedAt    time.Duration
}

// place puts every third upstream, from the one at position first, into another data centre.
func (w *world) place(dataCentre string, first int) {
	for i := first; i < len(w.upstreams); i += 3 {
		w.upstreams[i].dataCentre = dataCentre
	}
}

// evacuate makes an operator's call at a host.
func (w *world) evacuate(h *fakeHost, dataCentre string, out bool) *evacuationCall {
	call := &evacuationCall{dataCentre: dataCentre, out: out}
	w.evacuations = append(w.evacuations, call)
	answer := make(chan proposalAnswer, 1)
	h.step(func(g *Group) error {
		if _, err := g.servingLeader(); err == nil {
			call.index, _ = g.propose(evacuation(&oper.EvacuateRequest{DataCentre: dataCentre, Out: out}), answer)
		}
		return nil
	})
	w.await(h, answer, 0, func(a proposalAnswer) {
		if a.err == nil {
			call.acked, call.changed, call.ackedAt = true, a.result.Changed == 1, w.now
		}
	})
	return call
}

// evacuationLoop makes calls at random times until the given time, sometimes of two operators at once, and repeats some of them.
func (w *world) evacuationLoop(random *rand.Rand, until time.Duration) {
	w.in("operator", time.Duration(300+random.IntN(1200))*time.Millisecond, func() {
		for range 1 + random.IntN(2) {
			dataCentre, out := []string{"away", "dc", "unknown"}[random.IntN(3)], random.IntN(2) == 0
			for _, wait := range []int{0, random.IntN(1500)} {
				w.in("operator", time.Duration(wait)*time.Millisecond, func() {
					if h := w.leader(); h != nil {
						w.evacuate(h, dataCentre, out)
					}
				})
			}
		}
		if w.now < until {
			w.evacuationLoop(random, until)
		}
	})
}

// checkEvacuations checks that the call for each data centre that was acknowledged and committed last is in force at the leader, unless a
// later one without an acknowledgement is, and that all entry hosts have the leader's state.
func (w *world) checkEvacuations() {
	h := w.leader()
	if h == nil {
		return // checkAcknowledged reports it
	}
	last := map[string]*evacuationCall{}
	for _, call := range w.evacuations {
		if before := last[call.dataCentre]; call.acked && (before == nil || before.index < call.index) {
			last[call.dataCentre] = call
		}
	}
	for dataCentre, call := range last {
		r := h.group.state.Evacuations().Get(dataCentre)
		later := slices.ContainsFunc(w.evacuations, func(o *evacuationCall) bool {
			return o.dataCentre == dataCentre && o.out == r.Out && o.index == r.Version && o.index > call.index
		})
		if r.Out != call.out && !later {
			w.violation("%s: out of service %v was acknowledged at index %d, the state holds %+v", dataCentre, call.out, call.index, r)
		}
		for _, e := range w.entries {
			if e.view.Evacuated(dataCentre) != r.Out {
				w.violation("%s has %s out of service: %v, the leader %v", e.name, dataCentre, !r.Out, r.Out)
			}
		}
	}
}

// checkEvacuations checks that a view includes every change that was acknowledged before its watch was sent.
func (e *fakeEntry) checkEvacuations(next *table.View, askedAt time.Duration) {
	for _, call := range e.world.evacuations {
		if call.changed && call.ackedAt < askedAt && next.Version() < call.index {
			e.world.violation("%s applied version %d after evacuation %d was acknowledged", e.name, next.Version(), call.index)
		}
	}
}
