package raft

import (
	"slices"
	"time"
)

func (c *Core) tickLeader(now time.Duration) {
	if c.transferring && now >= c.deadline {
		c.becomeFollower(now, c.hard.Term, 0)
		return
	}
	if !c.quorumHeard(now) {
		c.becomeFollower(now, c.hard.Term, 0)
		return
	}
	if now < c.nextBeat {
		return
	}
	c.nextBeat = now + c.timing.Heartbeat
	for _, p := range c.peers {
		if !p.acked {
			p.next = p.match + 1
		}
		p.acked = false
		if p.snapshotting && now-p.snapshotSent > snapshotResendPeriod {
			p.snapshotting = false
		}
	}
	c.broadcast(now)
}

// quorumHeard reports whether a quorum answered within the longest election timeout.
func (c *Core) quorumHeard(now time.Duration) bool {
	if now-c.becameLeader < c.timing.ElectionMax {
		return true
	}
	heard := 0
	for _, r := range c.members {
		if r.Voter && c.HeardWithin(now, r.ID, c.timing.ElectionMax) {
			heard++
		}
	}
	return heard >= c.members.Quorum()
}

// leaseEnd returns the time until which a quorum has promised not to vote for another leader.
func (c *Core) leaseEnd(now time.Duration) time.Duration {
	sent := make([]time.Duration, 0, len(c.members))
	for _, r := range c.members {
		if !r.Voter {
			continue
		}
		if r.ID == c.id {
			sent = append(sent, now)
		} else if p := c.peers[r.ID]; p != nil && p.ackedSentAt > 0 {
			sent = append(sent, p.ackedSentAt)
		}
	}
	quorum := c.members.Quorum()
	if len(sent) < quorum {
		return 0
	}
	slices.Sort(sent)
	return sent[len(sent)-quorum] + c.timing.lease()
}

func (c *Core) broadcast(now time.Duration) {
	for _, r := range c.members {
		if r.ID != c.id {
			c.sendAppend(now, r.ID)
		}
	}
}

func (c *Core) sendAppend(now time.Duration, to ReplicaID) {
	p := c.peers[to]
	prevTerm, ok := c.log.term(p.next - 1)
	if !ok {
		c.sendSnapshot(now, to, p)
		return
	}
	entries := c.log.slice(p.next-1, c.log.lastIndex(), maxEntriesPerAppend)
	c.send(Message{Kind: MessageAppend, To: to, LogIndex: p.next - 1, LogTerm: prevTerm, Entries: entries,
		Commit: c.commit, SentAt: now})
	p.next += uint64(len(entries))
}

func (c *Core) sendSnapshot(now time.Duration, to ReplicaID, p *progress) {
	m := Message{Kind: MessageAppend, To: to, LogIndex: c.log.snapshot.Index, LogTerm: c.log.snapshot.Term, SentAt: now}
	if !p.snapshotting {
		s := c.log.snapshot
		m.Kind, m.Snapshot = MessageSnapshot, &s
		p.snapshotting, p.snapshotSent = true, now
	}
	c.send(m)
}

func (c *Core) followLeader(now time.Duration, m Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.heardLeader = now
	c.resetDeadline(now)
}

func (c *Core) onAppend(now time.Duration, m Message) {
	c.followLeader(now, m)
	answer := Message{Kind: MessageAppendAnswer, To: m.From, SentAt: m.SentAt}
	if m.LogIndex < c.commit {
		m = trimCommitted(m, c.commit)
	}
	if term, ok := c.log.term(m.LogIndex); m.LogIndex > c.commit && (!ok || term != m.LogTerm) {
		answer.Reject, answer.LogIndex = true, min(m.LogIndex-1, c.log.lastIndex())
		c.send(answer)
		return
	}
	c.mergeEntries(now, m.Entries)
	match := m.LogIndex + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, match))
	answer.LogIndex = match
	c.send(answer)
}

// trimCommitted drops the part of an append that this replica already holds as committed.
func trimCommitted(m Message, commit uint64) Message {
	skip := min(int(commit-m.LogIndex), len(m.Entries))
	m.Entries = m.Entries[skip:]
	m.LogIndex = commit
	return m
}

func (c *Core) mergeEntries(now time.Duration, entries []Entry) {
	for i, e := range entries {
		if term, ok := c.log.term(e.Index); ok && term == e.Term {
			continue
		}
		c.log.truncate(e.Index)
		c.appendLog(entries[i:]...)
		c.adoptMembers(now)
		return
	}
}

func (c *Core) onSnapshot(now time.Duration, m Message) {
	c.followLeader(now, m)
	answer := Message{Kind: MessageAppendAnswer, To: m.From, SentAt: m.SentAt, LogIndex: c.commit}
	if m.Snapshot != nil && m.Snapshot.Index > c.commit {
		c.log.compact(*m.Snapshot)
		c.commit, c.handedOut = m.Snapshot.Index, m.Snapshot.Index
		c.out = Effects{Install: m.Snapshot, Messages: c.out.Messages}
		c.adoptMembers(now)
		answer.LogIndex = m.Snapshot.Index
	}
	c.send(answer)
}

func (c *Core) onAppendAnswer(now time.Duration, m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.heard, p.heardAt = true, now
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	if m.Reject {
		p.next = max(p.match, m.LogIndex) + 1
		if !p.snapshotting {
			c.sendAppend(now, m.From)
		}
		return
	}
	p.acked, p.snapshotting = true, false
	if m.LogIndex > p.match {
		p.match = m.LogIndex
		p.next = max(p.next, p.match+1)
		before := c.commit
		c.advanceCommit()
		if c.commit > before {
			c.broadcast(now)
			return
		}
	}
	if p.next <= c.log.lastIndex() {
		c.sendAppend(now, m.From)
	}
}

// advanceCommit moves the commit index to the newest entry of this term that a quorum holds.
func (c *Core) advanceCommit() {
	held := make([]uint64, 0, len(c.members))
	for _, r := range c.members {
		if r.Voter {
			held = append(held, c.MatchIndex(r.ID))
		}
	}
	slices.Sort(held)
	candidate := held[len(held)-c.members.Quorum()]
	if term, ok := c.log.term(candidate); ok && candidate > c.commit && term == c.hard.Term {
		c.commit = candidate
	}
}
