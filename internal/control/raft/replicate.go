package raft

import (
	"slices"
	"time"
)

func (c *Core) tickLeader(now time.Duration) {
	if c.transferring && now >= c.deadline {
		c.becomeFollower(now, c.hardState.Term, 0)
		return
	}
	if !c.quorumActive(now) {
		c.becomeFollower(now, c.hardState.Term, 0)
		return
	}
	if now < c.nextHeartbeat {
		return
	}
	c.nextHeartbeat = now + c.timing.Heartbeat
	for _, p := range c.peers {
		if !p.acked {
			p.next = p.match + 1
		}
		p.acked = false
		if p.snapshotting && now-p.snapshotSentAt > snapshotResendPeriod {
			p.snapshotting = false
		}
	}
	c.broadcast(now)
}

// quorumActive reports whether a quorum has answered within the maximum election timeout. A new leader is given that long
// to hear from its peers.
func (c *Core) quorumActive(now time.Duration) bool {
	if now-c.leaderSince < c.timing.ElectionMax {
		return true
	}
	active := 0
	for _, r := range c.members {
		if r.Voter && c.HeardWithin(now, r.ID, c.timing.ElectionMax) {
			active++
		}
	}
	return active >= c.members.Quorum()
}

// leaseEnd returns when the leader lease expires. A voter that has answered an append ignores vote requests for the
// minimum election timeout, so the lease is counted from the newest send time that a quorum of voters has answered.
// Returns zero if less than a quorum has answered.
func (c *Core) leaseEnd(now time.Duration) time.Duration {
	sent := make([]time.Duration, 0, len(c.members))
	for _, r := range c.members {
		if !r.Voter {
			continue
		}
		if r.ID == c.id {
			sent = append(sent, now)
		} else if p := c.peers[r.ID]; p != nil && p.lastAckSentAt > 0 {
			sent = append(sent, p.lastAckSentAt)
		}
	}
	quorum := c.members.Quorum()
	if len(sent) < quorum {
		return 0
	}
	slices.Sort(sent)
	return sent[len(sent)-quorum] + c.timing.leaseDuration()
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

// sendSnapshot sends the newest snapshot to a peer that needs entries the log no longer holds. While an earlier send is
// not answered, it sends an append without entries instead, as a heartbeat.
func (c *Core) sendSnapshot(now time.Duration, to ReplicaID, p *progress) {
	m := Message{Kind: MessageAppend, To: to, LogIndex: c.log.snapshot.Index, LogTerm: c.log.snapshot.Term, SentAt: now}
	if !p.snapshotting {
		s := c.log.snapshot
		m.Kind, m.Snapshot = MessageSnapshot, &s
		p.snapshotting, p.snapshotSentAt = true, now
	}
	c.send(m)
}

func (c *Core) followLeader(now time.Duration, m Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.leaderHeardAt = now
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

// trimCommitted removes the entries that this replica already holds as committed from an append.
func trimCommitted(m Message, commit uint64) Message {
	skip := min(int(commit-m.LogIndex), len(m.Entries))
	m.Entries = m.Entries[skip:]
	m.LogIndex = commit
	return m
}

// mergeEntries appends the entries that the log lacks. Entries in the log that conflict with them are removed first.
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
		c.commit, c.delivered = m.Snapshot.Index, m.Snapshot.Index
		c.effects = Effects{Install: m.Snapshot, Messages: c.effects.Messages}
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
	p.lastAckSentAt = max(p.lastAckSentAt, m.SentAt)
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

// advanceCommit advances the commit index to the last entry that a quorum stores, if that entry is of the current term.
func (c *Core) advanceCommit() {
	matches := make([]uint64, 0, len(c.members))
	for _, r := range c.members {
		if r.Voter {
			matches = append(matches, c.MatchIndex(r.ID))
		}
	}
	slices.Sort(matches)
	candidate := matches[len(matches)-c.members.Quorum()]
	if term, ok := c.log.term(candidate); ok && candidate > c.commit && term == c.hardState.Term {
		c.commit = candidate
	}
}
