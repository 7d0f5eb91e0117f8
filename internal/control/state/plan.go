package state

import (
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// batch gathers the changes of one service, as each application copies all slices; an operation that depends on a
// change before it is preceded by a flush.
type batch struct {
	table   *serviceTable
	changes []slice.Change
	touched map[uint64]bool
}

// plan applies the operations in order; each sees the result of those before it.
func (s *State) plan(p Plan) (err error) {
	b := &batch{}
	for _, o := range p.Operations {
		t := s.table(o.Service)
		if t == nil {
			continue
		}
		reshapes := o.Kind == Split || o.Kind == Merge
		if t != b.table || reshapes || b.touched[o.Start] {
			if err = s.flush(b, t); err != nil {
				return err
			}
		}
		b.add(s.operate(t.set, o))
		if reshapes {
			if err = s.flush(b, t); err != nil {
				return err
			}
		}
	}
	return s.flush(b, nil)
}

func (b *batch) add(changes []slice.Change) {
	b.changes = append(b.changes, changes...)
	for _, c := range changes {
		b.touched[c.Slice.Start] = true
	}
}

// flush applies what was gathered and starts anew for a table.
func (s *State) flush(b *batch, next *serviceTable) (err error) {
	if b.table != nil {
		err = s.change(b.table, b.changes)
	}
	*b = batch{table: next, touched: map[uint64]bool{}}
	return err
}

// operate returns the changes of one operation, or none where the slice is not as the proposer saw it.
func (s *State) operate(set slice.Set, o Operation) []slice.Change {
	e, ok := set.StartsAt(o.Start)
	if !ok || e.Fence != o.Fence {
		return nil
	}
	switch o.Kind {
	case Assign:
		return s.assign(e, o.To)
	case BeginMove:
		return s.begin(e, o.To)
	case FinishMove:
		return s.finish(e, o.To)
	case Split:
		return s.split(set, e, o.At)
	case Merge:
		return s.merge(set, e)
	}
	return nil
}

func (s *State) assign(e slice.Slice, to uint32) []slice.Change {
	i, ok := s.upstreamPosition(to)
	if !ok || e.Owner != 0 || e.Next == to {
		return nil
	}
	if s.upstreams[i].Reports {
		e.Next = to
		return []slice.Change{{Slice: e}}
	}
	e.Owner, e.Fence = to, s.index
	s.touchGrants(to)
	return []slice.Change{{Slice: e}}
}

func (s *State) begin(e slice.Slice, to uint32) []slice.Change {
	if _, ok := s.upstreamPosition(to); !ok || e.Owner == 0 || e.Moving() || e.Owner == to {
		return nil
	}
	e.Next = to
	s.touchGrants(e.Owner)
	return []slice.Change{{Slice: e}}
}

func (s *State) finish(e slice.Slice, to uint32) []slice.Change {
	if !e.Moving() || e.Next != to {
		return nil
	}
	e.Owner, e.Next, e.Fence = to, 0, s.index
	s.touchGrants(to)
	return []slice.Change{{Slice: e}}
}

func (s *State) split(set slice.Set, e slice.Slice, at uint64) []slice.Change {
	position := set.Position(e.Start)
	if at <= e.Start || at > set.Last(position) || e.Moving() || set.Len() >= maxSlicesTotal {
		return nil
	}
	upper := e
	upper.Start = at
	return []slice.Change{{Slice: upper}}
}

func (s *State) merge(set slice.Set, e slice.Slice) []slice.Change {
	position := set.Position(e.Start)
	if position+1 >= set.Len() {
		return nil
	}
	behind := set.At(position + 1)
	if behind.Owner != e.Owner || behind.Moving() || e.Moving() {
		return nil
	}
	if behind.Fence != e.Fence {
		e.Fence = s.index
		s.touchGrants(e.Owner)
	}
	return []slice.Change{{Slice: e}, {Slice: behind, Removed: true}}
}
