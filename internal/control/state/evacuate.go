package state

import (
	"ebonyrill.dev/ebonyrill/internal/shared/evac"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Evacuations returns which data centres are out of service or came back lately.
func (s *State) Evacuations() *evac.Set { return s.evacuations }

// OutOfService reports whether an upstream is in a data centre that is out of service.
func (s *State) OutOfService(u table.Upstream) bool { return s.evacuations.Out(u.DataCentre) }

// evacuate takes a data centre out of service or back. A repeated call changes nothing, and neither does one that was delayed on its way
// to the leader until after an opposite one.
func (s *State) evacuate(e Evacuate) Result {
	if r := s.evacuations.Get(e.DataCentre); e.Known != 0 && r.Version > e.Known && r.Out != e.Out {
		return Result{Rejection: "an opposite call was committed before this one", Outdated: true}
	}
	next, changed, err := s.evacuations.Change(evac.Record{DataCentre: e.DataCentre, Out: e.Out, By: e.By, At: e.At, Version: s.index})
	if err != nil {
		return Result{Rejection: err.Error()}
	}
	if !changed {
		return Result{}
	}
	s.evacuations = next
	s.recordChange(journalEntry{evacuated: []string{e.DataCentre}})
	return Result{Changed: 1}
}

// evacuationsSince returns the current records of the data centres that were taken out of service or back after a version.
func (s *State) evacuationsSince(version uint64) (list []evac.Record) {
	known := map[string]bool{}
	for _, j := range s.journalSince(version) {
		for _, name := range j.evacuated {
			if !known[name] {
				known[name] = true
				list = append(list, s.evacuations.Get(name))
			}
		}
	}
	return list
}
