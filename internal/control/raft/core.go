package raft

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of one append message.
const (
	maxEntriesPerAppend  = 256
	snapshotResendPeriod = time.Second
)

// progress is what the leader knows of one peer.
type progress struct {
	match        uint64
	next         uint64
	ackedSentAt  time.Duration
	heardAt      time.Duration
	snapshotSent time.Duration
	heard        bool
	acked        bool
	snapshotting bool
}

// Core is one replica's agreement state.
type Core struct {
	id           ReplicaID
	timing       Timing
	random       *rand.Rand
	hard         HardState
	log          entryLog
	members      Members
	membersIndex uint64
	commit       uint64
	handedOut    uint64
	role         Role
	leader       ReplicaID
	heardLeader  time.Duration
	deadline     time.Duration
	nextBeat     time.Duration
	becameLeader time.Duration
	transferring bool
	votes        []ReplicaID
	peers        map[ReplicaID]*progress
	out          Effects
	hardDirty    bool
}

// New restores a replica from what its data folder holds; a vote is withheld for one election timeout since what
// the replica promised to a leader before it restarted is not on disk.
func New(id ReplicaID, timing Timing, random *rand.Rand, now time.Duration, hard HardState, s Snapshot, tail []Entry) *Core {
	c := &Core{id: id, timing: timing, random: random, hard: hard, heardLeader: now}
	c.log = entryLog{snapshot: s, entries: tail}
	c.commit, c.handedOut = s.Index, s.Index
	c.members, c.membersIndex = c.log.members()
	c.resetDeadline(now)
	return c
}

// Take returns the effects since the last call; the driver performs all of them before the next step.
func (c *Core) Take() (out Effects) {
	out = c.out
	c.out = Effects{}
	if c.hardDirty {
		hard := c.hard
		out.HardState, c.hardDirty = &hard, false
	}
	if c.commit > c.handedOut {
		out.Committed = c.log.slice(c.handedOut, c.commit, int(c.commit-c.handedOut))
		c.handedOut = c.commit
	}
	return out
}

// Tick lets the core see that time has passed.
func (c *Core) Tick(now time.Duration) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now >= c.deadline {
		c.startPreVote(now)
	}
}

// Propose appends a command at the leader and returns the position it will have if it commits.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.transferring {
		return 0, 0, &ErrNotLeader{Leader: c.leader}
	}
	e := c.appendOwn(Entry{Kind: EntryCommand, Data: data})
	c.broadcast(now)
	c.advanceCommit()
	return e.Index, e.Term, nil
}

// ProposeMembers appends a configuration at the leader; one vote may change at a time, and only once the last
// configuration and an entry of this term are committed.
func (c *Core) ProposeMembers(now time.Duration, next Members) (index, term uint64, err error) {
	if c.role != Leader || c.transferring {
		return 0, 0, &ErrNotLeader{Leader: c.leader}
	}
	if c.membersIndex > c.commit || !c.committedOwnTerm() {
		return 0, 0, &ErrMembersRefused{Reason: "the previous change is not committed yet"}
	}
	if c.members.voterChanges(next) > 1 {
		return 0, 0, &ErrMembersRefused{Reason: "more than one vote changes"}
	}
	if !next.IsVoter(c.id) {
		return 0, 0, &ErrMembersRefused{Reason: "the leader must keep its vote; move leadership first"}
	}
	e := c.appendOwn(Entry{Kind: EntryMembers, Members: next})
	c.adoptMembers(now)
	c.broadcast(now)
	c.advanceCommit()
	return e.Index, e.Term, nil
}

// TransferLeadership hands leadership to the voter whose log reaches furthest; the lease ends at once.
func (c *Core) TransferLeadership(now time.Duration) bool {
	if c.role != Leader || c.transferring {
		return false
	}
	target, found := ReplicaID(0), false
	for _, r := range c.members {
		p := c.peers[r.ID]
		if r.Voter && p != nil && p.match == c.log.lastIndex() {
			target, found = r.ID, true
		}
	}
	if !found {
		return false
	}
	c.transferring = true
	c.deadline = now + c.timing.ElectionMin
	c.send(Message{Kind: MessageTimeoutNow, To: target})
	return true
}

// Compact replaces the log up to the snapshot's index; the driver calls it once the snapshot is on disk.
func (c *Core) Compact(s Snapshot) { c.log.compact(s) }

// Step takes in one message; a message that is not for this identity is dropped.
func (c *Core) Step(now time.Duration, m Message) {
	if m.To != c.id || m.From == c.id {
		return
	}
	switch m.Kind {
	case MessagePreVote:
		c.onPreVote(now, m)
		return
	case MessagePreVoteAnswer:
		c.onPreVoteAnswer(now, m)
		return
	case MessageVote:
		if c.voteWithheld(now, m) {
			return
		}
	}
	if m.Term < c.hard.Term {
		if m.FromLeader() {
			c.send(Message{Kind: MessageAppendAnswer, To: m.From, Reject: true})
		}
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(now, m.Term, 0)
	}
	switch m.Kind {
	case MessageVote:
		c.onVote(now, m)
	case MessageVoteAnswer:
		c.onVoteAnswer(now, m)
	case MessageAppend:
		c.onAppend(now, m)
	case MessageAppendAnswer:
		c.onAppendAnswer(now, m)
	case MessageSnapshot:
		c.onSnapshot(now, m)
	case MessageTimeoutNow:
		c.onTimeoutNow(now, m)
	}
}

// LeaseValid reports whether this replica leads, has committed in its term, and no other leader can exist at now.
func (c *Core) LeaseValid(now time.Duration) bool {
	return c.role == Leader && !c.transferring && c.committedOwnTerm() && now < c.leaseEnd(now)
}

// ID returns the replica's identity.
func (c *Core) ID() ReplicaID { return c.id }

// Role returns the replica's part in the current term.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// LeaderID returns the leader this replica follows, or zero.
func (c *Core) LeaderID() ReplicaID { return c.leader }

// Members returns the newest configuration in the log, committed or not.
func (c *Core) Members() Members { return slices.Clone(c.members) }

// MembersCommitted reports whether the newest configuration is known to be committed.
func (c *Core) MembersCommitted() bool { return c.membersIndex <= c.commit }

// CommitIndex returns the last index known to be committed.
func (c *Core) CommitIndex() uint64 { return c.commit }

// SnapshotIndex returns the index the newest snapshot reaches.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.Index }

// MatchIndex returns how far a member's disk is known to hold the log; only the leader knows.
func (c *Core) MatchIndex(id ReplicaID) uint64 {
	if id == c.id {
		return c.log.lastIndex()
	}
	if p := c.peers[id]; p != nil && c.role == Leader {
		return p.match
	}
	return 0
}

// HeardWithin reports whether the leader had an answer of the member within the period.
func (c *Core) HeardWithin(now time.Duration, id ReplicaID, period time.Duration) bool {
	if id == c.id {
		return true
	}
	p := c.peers[id]
	return c.role == Leader && p != nil && p.heard && now-p.heardAt <= period
}

func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

func (c *Core) resetDeadline(now time.Duration) {
	spread := int64(c.timing.ElectionMax - c.timing.ElectionMin)
	c.deadline = now + c.timing.ElectionMin + time.Duration(c.random.Int64N(spread+1))
}

func (c *Core) setTerm(term uint64, vote ReplicaID) {
	c.hard = HardState{Term: term, Vote: vote}
	c.hardDirty = true
}

func (c *Core) adoptMembers(now time.Duration) {
	c.members, c.membersIndex = c.log.members()
	if c.role != Leader {
		return
	}
	for _, r := range c.members {
		if c.peers[r.ID] == nil && r.ID != c.id {
			c.peers[r.ID] = &progress{next: c.log.lastIndex() + 1, heardAt: now, heard: true}
		}
	}
	for id := range c.peers {
		if _, ok := c.members.Find(id); !ok {
			delete(c.peers, id)
		}
	}
}

func (c *Core) appendLog(entries ...Entry) {
	c.log.append(entries...)
	c.out.Append = append(c.out.Append, entries...)
}

func (c *Core) appendOwn(e Entry) Entry {
	e.Index, e.Term = c.log.lastIndex()+1, c.hard.Term
	c.appendLog(e)
	return e
}

func (c *Core) committedOwnTerm() bool {
	term, ok := c.log.term(c.commit)
	return ok && term == c.hard.Term
}

// SnapshotAt returns a snapshot of the state at an applied index, or false where the log no longer holds the index.
func (c *Core) SnapshotAt(index uint64, data []byte) (s Snapshot, ok bool) {
	term, ok := c.log.term(index)
	if !ok || index > c.commit {
		return Snapshot{}, false
	}
	members := c.log.snapshot.Members
	for _, e := range c.log.slice(c.log.snapshot.Index, index, len(c.log.entries)) {
		if e.Kind == EntryMembers {
			members = e.Members
		}
	}
	return Snapshot{Index: index, Term: term, Members: members, Data: data}, true
}
