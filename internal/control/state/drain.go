package state

import (
	"slices"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// HasLeft reports whether a process will get no new requests from now on, because it said that it leaves or because it has ended: it is
// listed as leaving, or it is not listed and cannot join any more.
func (s *State) HasLeft(p table.Process) bool {
	for _, u := range s.upstreams {
		if u.Process() == p {
			return u.Leaving
		}
	}
	newest := s.newestByName[p.Name]
	return p.Incarnation < newest.Incarnation || p.Incarnation == newest.Incarnation && !newest.Lost
}

func (s *State) drain(d Drain) Result {
	if d.Self {
		s.recordChange(journalEntry{upstreams: s.setLeaving(d)})
		return Result{}
	}
	var changed []uint32
	for _, u := range s.upstreams {
		if u.Name == d.Name {
			changed = append(changed, u.Number)
		}
	}
	s.drained = slices.DeleteFunc(s.drained, func(name string) bool { return name == d.Name })
	if d.On {
		s.drained = append(s.drained, d.Name)
		slices.Sort(s.drained)
	}
	s.recordChange(journalEntry{upstreams: changed})
	return Result{}
}

// setLeaving records that processes of an upstream leave, and returns the numbers of those that are listed. A process that has not joined
// is recorded as the newest incarnation, so that a late announcement cannot make it join; its start has ended the older ones.
func (s *State) setLeaving(d Drain) (changed []uint32) {
	newest := s.newestByName[d.Name].Incarnation
	unjoined := d.Incarnation > newest
	if d.On && (unjoined || d.Incarnation == newest && newest != 0) {
		s.setNewestIncarnation(d.Name, d.Incarnation)
	}
	if d.On && d.Incarnation == 0 {
		s.setLost(d.Name, 0, false)
	}
	for i, u := range s.upstreams {
		if u.Name == d.Name && (unjoined || d.Incarnation == 0 || d.Incarnation == u.Incarnation) {
			s.upstreams[i].Leaving = d.On
			changed = append(changed, u.Number)
		}
	}
	return changed
}
