package raft

// entryLog is the tail of the log behind the newest snapshot.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.snapshot.Term
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term at an index, or false where the log no longer or not yet holds it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// slice returns the entries in (after, upTo], at most max of them.
func (l *entryLog) slice(after, upTo uint64, max int) []Entry {
	if after < l.snapshot.Index || after >= upTo {
		return nil
	}
	from := int(after - l.snapshot.Index)
	to := min(int(upTo-l.snapshot.Index), from+max, len(l.entries))
	if from >= to {
		return nil
	}
	return append([]Entry(nil), l.entries[from:to]...)
}

// truncate drops all entries from index on.
func (l *entryLog) truncate(index uint64) {
	if index <= l.lastIndex() {
		l.entries = l.entries[:index-l.snapshot.Index-1]
	}
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// compact replaces the log up to the snapshot's index.
func (l *entryLog) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index {
		return
	}
	kept := l.slice(s.Index, l.lastIndex(), len(l.entries))
	if term, ok := l.term(s.Index); !ok || term != s.Term {
		kept = nil
	}
	l.snapshot, l.entries = s, kept
}

// members returns the newest configuration in the log.
func (l *entryLog) members() (m Members, index uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembers {
			return l.entries[i].Members, l.entries[i].Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}
