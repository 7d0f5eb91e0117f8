package state

import (
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// changeBatch collects slice changes of one service, so that they are applied together: each application copies all slices of the
// service. It is flushed before an operation that depends on an earlier change.
type changeBatch struct {
	table   *sliceTable
	changes []slice.Change
	touched map[uint64]bool // starts of the changed slices
}

// plan applies the operations in order. Each sees the result of those before it.
func (s *State) plan(p Plan) (err error) {
	b := &changeBatch{}
	for _, o := range p.Operations {
		t := s.table(o.Service)
		if t == nil {
			continue
		}
		changesBounds := o.Kind == Split || o.Kind == Merge
		if t != b.table || changesBounds || b.touched[o.Start] {
			if err = s.flush(b, t); err != nil {
				return err
			}
		}
		b.add(s.operationChanges(t, o))
		if changesBounds {
			if err = s.flush(b, t); err != nil {
				return err
			}
		}
	}
	return s.flush(b, nil)
}

func (b *changeBatch) add(changes []slice.Change) {
	b.changes = append(b.changes, changes...)
	for _, c := range changes {
		b.touched[c.Slice.Start] = true
	}
}

// flush applies the collected changes and starts an empty batch for the next table.
func (s *State) flush(b *changeBatch, next *sliceTable) (err error) {
	if b.table != nil {
		err = s.applyChanges(b.table, b.changes)
	}
	*b = changeBatch{table: next, touched: map[uint64]bool{}}
	return err
}

// operationChanges returns the changes of one operation. It returns none if the slice's start or fencing token is not the one
// that the operation was proposed for.
func (s *State) operationChanges(t *sliceTable, o Operation) []slice.Change {
	e, ok := t.set.StartsAt(o.Start)
	if !ok || e.Fence != o.Fence {
		return nil
	}
	switch o.Kind {
	case Assign:
		return s.assign(e, o.To)
	case BeginMove:
		return s.beginMove(t, e, o.To, o.Sequence)
	case FinishMove:
		return s.finishMove(e, o.To)
	case Split:
		return s.split(t.set, e, o.At)
	case Merge:
		return s.merge(t.set, e)
	case Refence:
		return s.refence(e)
	}
	return nil
}

// assign makes an upstream the owner of a slice without one. For an upstream that reports the keys it holds, it only sets the
// next owner; a FinishMove operation completes the move.
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
	s.bumpGrantsVersion(to)
	return []slice.Change{{Slice: e}}
}

// beginMove revokes a slice from its owner. The sequence number is that of a report in which the owner listed the slice, or zero.
func (s *State) beginMove(t *sliceTable, e slice.Slice, to uint32, sequence uint64) []slice.Change {
	if _, ok := s.upstreamPosition(to); !ok || e.Owner == 0 || e.Moving() || e.Owner == to {
		return nil
	}
	if sequence != 0 {
		t.reports[e.Start] = sequence
	}
	e.Next = to
	s.bumpGrantsVersion(e.Owner)
	return []slice.Change{{Slice: e}}
}

func (s *State) finishMove(e slice.Slice, to uint32) []slice.Change {
	if !e.Moving() || e.Next != to {
		return nil
	}
	e.Owner, e.Next, e.Fence = to, 0, s.index
	s.bumpGrantsVersion(to)
	return []slice.Change{{Slice: e}}
}

func (s *State) refence(e slice.Slice) []slice.Change {
	if e.Owner == 0 || e.Moving() {
		return nil
	}
	e.Fence = s.index
	s.bumpGrantsVersion(e.Owner)
	return []slice.Change{{Slice: e}}
}

func (s *State) split(set slice.Set, e slice.Slice, at uint64) []slice.Change {
	position := set.Position(e.Start)
	if at <= e.Start || at > set.Last(position) || e.Moving() || set.Len() >= maxSlicesPerService {
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
	following := set.At(position + 1)
	if following.Owner != e.Owner || following.Moving() || e.Moving() {
		return nil
	}
	if following.Fence != e.Fence {
		e.Fence = s.index
		s.bumpGrantsVersion(e.Owner)
	}
	return []slice.Change{{Slice: e}, {Slice: following, Removed: true}}
}
