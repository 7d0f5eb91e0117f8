package state

import "time"

// SetCold sets how much longer upstreams are cold.
type SetCold struct {
	Upstreams []ColdUpstream `cbor:"1,keyasint"`
}

// ColdUpstream is one upstream with the time in nanoseconds for which it is cold from the commit on; zero if it is warm.
type ColdUpstream struct {
	Number uint32 `cbor:"1,keyasint"`
	Left   int64  `cbor:"2,keyasint"`
}

// setCold applies a SetCold command. ColdVersion changes even if the time does not, so that entry hosts count it anew.
func (s *State) setCold(c SetCold) Result {
	var changed []uint32
	for _, u := range c.Upstreams {
		if i, ok := s.upstreamPosition(u.Number); ok {
			s.upstreams[i].ColdLeft, s.upstreams[i].ColdVersion = time.Duration(u.Left), s.index
			changed = append(changed, u.Number)
		}
	}
	if len(changed) > 0 {
		s.recordChange(journalEntry{upstreams: changed})
	}
	return Result{}
}
