package raft

import (
	"slices"
	"time"
)

func (c *Core) becomeFollower(now time.Duration, term uint64, leader ReplicaID) {
	if term > c.hard.Term {
		c.setTerm(term, 0)
	}
	c.role, c.leader, c.peers, c.votes, c.transferring = Follower, leader, nil, nil, false
	c.resetDeadline(now)
}

func (c *Core) startPreVote(now time.Duration) {
	c.resetDeadline(now)
	if !c.members.IsVoter(c.id) {
		return
	}
	c.role, c.leader, c.votes = PreCandidate, 0, []ReplicaID{c.id}
	if len(c.votes) >= c.members.Quorum() {
		c.startElection(now, 0)
		return
	}
	c.requestVotes(MessagePreVote, c.hard.Term+1, 0)
}

func (c *Core) startElection(now time.Duration, priorTerm uint64) {
	c.resetDeadline(now)
	c.setTerm(c.hard.Term+1, c.id)
	c.role, c.leader, c.votes = Candidate, 0, []ReplicaID{c.id}
	if len(c.votes) >= c.members.Quorum() {
		c.becomeLeader(now)
		return
	}
	c.requestVotes(MessageVote, c.hard.Term, priorTerm)
}

func (c *Core) requestVotes(kind MessageKind, term, priorTerm uint64) {
	for _, r := range c.members {
		if r.Voter && r.ID != c.id {
			c.send(Message{Kind: kind, To: r.ID, Term: term, PriorTerm: priorTerm,
				LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm()})
		}
	}
}

// leaderIsRecent reports whether this replica may have promised a leader not to vote yet.
func (c *Core) leaderIsRecent(now time.Duration) bool {
	return c.role == Leader || now-c.heardLeader < c.timing.ElectionMin
}

// voteWithheld reports whether a vote request must be ignored to keep the leader lease sound; a request that
// follows a transfer in the same term passes, as that leader has given up its lease.
func (c *Core) voteWithheld(now time.Duration, m Message) bool {
	if m.PriorTerm != 0 && m.PriorTerm == c.hard.Term {
		return false
	}
	return m.Term > c.hard.Term && c.leaderIsRecent(now)
}

func (c *Core) candidateUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.LogIndex >= c.log.lastIndex()
}

func (c *Core) onPreVote(now time.Duration, m Message) {
	granted := m.Term > c.hard.Term && !c.leaderIsRecent(now) && c.candidateUpToDate(m)
	answer := Message{Kind: MessagePreVoteAnswer, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		answer.Term = c.hard.Term
	}
	c.send(answer)
}

func (c *Core) onPreVoteAnswer(now time.Duration, m Message) {
	if m.Reject {
		if m.Term > c.hard.Term {
			c.becomeFollower(now, m.Term, 0)
		}
		return
	}
	if c.role != PreCandidate || m.Term != c.hard.Term+1 || !c.countVote(m.From) {
		return
	}
	c.startElection(now, 0)
}

// countVote records a voter's yes and reports whether a quorum is reached.
func (c *Core) countVote(id ReplicaID) bool {
	if c.members.IsVoter(id) && !slices.Contains(c.votes, id) {
		c.votes = append(c.votes, id)
	}
	return len(c.votes) >= c.members.Quorum()
}

func (c *Core) onVote(now time.Duration, m Message) {
	free := c.hard.Vote == 0 || c.hard.Vote == m.From
	granted := free && c.role != Leader && c.candidateUpToDate(m) && c.members.IsVoter(c.id)
	if granted {
		c.setTerm(c.hard.Term, m.From)
		c.resetDeadline(now)
	}
	c.send(Message{Kind: MessageVoteAnswer, To: m.From, Reject: !granted})
}

func (c *Core) onVoteAnswer(now time.Duration, m Message) {
	if c.role != Candidate || m.Reject || !c.countVote(m.From) {
		return
	}
	c.becomeLeader(now)
}

func (c *Core) onTimeoutNow(now time.Duration, m Message) {
	if c.role != Follower || m.From != c.leader || !c.members.IsVoter(c.id) {
		return
	}
	c.startElection(now, m.Term)
}

func (c *Core) becomeLeader(now time.Duration) {
	c.role, c.leader, c.becameLeader, c.votes = Leader, c.id, now, nil
	c.peers = map[ReplicaID]*progress{}
	c.adoptMembers(now)
	c.appendOwn(Entry{Kind: EntryNoOp})
	c.nextBeat = now + c.timing.Heartbeat
	c.broadcast(now)
	c.advanceCommit()
}
