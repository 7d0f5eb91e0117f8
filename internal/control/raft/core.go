package raft

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxEntriesPerAppend = 256
	// snapshotResendPeriod is how long the leader waits for the answer to a snapshot before it sends the snapshot again.
	snapshotResendPeriod = time.Second
)

// progress is the leader's replication state for one peer.
type progress struct {
	// match is the last log index known to be stored on the peer; next is the index of the next entry to send.
	match uint64
	next  uint64
	// lastAckSentAt is the send time, by the leader's clock, of the newest append that the peer has answered.
	lastAckSentAt  time.Duration
	heardAt        time.Duration
	snapshotSentAt time.Duration
	heard          bool
	// acked is set when the peer accepts an append and cleared at each heartbeat.
	acked bool
	// snapshotting is set while a snapshot has been sent and not answered yet.
	snapshotting bool
}

// Core is the Raft state of one replica. It is not safe for concurrent use.
type Core struct {
	id        ReplicaID
	timing    Timing
	random    *rand.Rand
	hardState HardState
	log       entryLog
	members   Members
	// membersIndex is the log index of the configuration in members.
	membersIndex uint64
	commit       uint64
	// delivered is the last committed index that Take has returned to the driver.
	delivered     uint64
	role          Role
	leader        ReplicaID
	leaderHeardAt time.Duration
	// deadline is when the election timeout passes, or on a leader when a leadership transfer times out.
	deadline      time.Duration
	nextHeartbeat time.Duration
	leaderSince   time.Duration
	transferring  bool
	votes         []ReplicaID
	peers         map[ReplicaID]*progress
	effects       Effects
	// hardStateDirty is set while hardState has changes that Take has not returned.
	hardStateDirty bool
}

// New returns a follower with the hard state, snapshot and log entries that were stored in its data folder. It ignores
// vote requests for the minimum election timeout: before the restart it may have extended a leader's lease, and that is
// not stored.
func New(id ReplicaID, timing Timing, random *rand.Rand, now time.Duration, hardState HardState, s Snapshot, tail []Entry) *Core {
	c := &Core{id: id, timing: timing, random: random, hardState: hardState, leaderHeardAt: now}
	c.log = entryLog{snapshot: s, entries: tail}
	c.commit, c.delivered = s.Index, s.Index
	c.members, c.membersIndex = c.log.members()
	c.resetDeadline(now)
	return c
}

// Take returns the effects accumulated since the last call. The driver must perform all of them before the next step.
func (c *Core) Take() (out Effects) {
	out = c.effects
	c.effects = Effects{}
	if c.hardStateDirty {
		hard := c.hardState
		out.HardState, c.hardStateDirty = &hard, false
	}
	if c.commit > c.delivered {
		out.Committed = c.log.slice(c.delivered, c.commit, int(c.commit-c.delivered))
		c.delivered = c.commit
	}
	return out
}

// Tick advances the core's clock: a leader sends heartbeats and steps down if it has lost its quorum, any other replica
// starts a pre-vote when its election timeout has passed.
func (c *Core) Tick(now time.Duration) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now >= c.deadline {
		c.startPreVote(now)
	}
}

// Propose appends a command to the leader's log and returns the index and term of its entry. The command is committed
// only if an entry with that index and term commits. Returns ErrNotLeader on any other replica and during a leadership
// transfer.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.transferring {
		return 0, 0, &ErrNotLeader{Leader: c.leader}
	}
	e := c.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	c.broadcast(now)
	c.advanceCommit()
	return e.Index, e.Term, nil
}

// ProposeMembers appends a new group configuration to the leader's log and returns the index and term of its entry.
// Returns ErrMembersRefused if more than one voter changes, if the leader would lose its vote, or if the previous
// configuration or the first entry of the leader's term is not committed yet; ErrNotLeader as Propose.
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
	e := c.appendAsLeader(Entry{Kind: EntryMembers, Members: next})
	c.adoptMembers(now)
	c.broadcast(now)
	c.advanceCommit()
	return e.Index, e.Term, nil
}

// TransferLeadership transfers leadership to a voter that holds the complete log, and reports whether there is one. The
// leader lease ends immediately.
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

// Compact discards the log entries up to the snapshot's index. The driver calls it once the snapshot is on disk.
func (c *Core) Compact(s Snapshot) { c.log.compact(s) }

// Step processes one message. A message that is addressed to another replica ID is dropped.
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
		if c.ignoresVoteRequest(now, m) {
			return
		}
	}
	if m.Term < c.hardState.Term {
		if m.FromLeader() {
			c.send(Message{Kind: MessageAppendAnswer, To: m.From, Reject: true})
		}
		return
	}
	if m.Term > c.hardState.Term {
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

// LeaseValid reports whether this replica is the leader, has committed an entry of its term, and holds the leader lease,
// so that no other leader can exist at now.
func (c *Core) LeaseValid(now time.Duration) bool {
	return c.role == Leader && !c.transferring && c.committedOwnTerm() && now < c.leaseEnd(now)
}

func (c *Core) ID() ReplicaID { return c.id }

func (c *Core) Role() Role { return c.role }

func (c *Core) Term() uint64 { return c.hardState.Term }

// LeaderID returns the leader of the current term, or zero if it is not known.
func (c *Core) LeaderID() ReplicaID { return c.leader }

// Members returns the newest configuration in the log, committed or not.
func (c *Core) Members() Members { return slices.Clone(c.members) }

// MembersCommitted reports whether the newest configuration is known to be committed.
func (c *Core) MembersCommitted() bool { return c.membersIndex <= c.commit }

// CommitIndex returns the last index known to be committed.
func (c *Core) CommitIndex() uint64 { return c.commit }

// SnapshotIndex returns the last log index that the newest snapshot covers.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.Index }

// MatchIndex returns the last log index known to be stored on a member. It returns zero for other members if this replica
// is not the leader.
func (c *Core) MatchIndex(id ReplicaID) uint64 {
	if id == c.id {
		return c.log.lastIndex()
	}
	if p := c.peers[id]; p != nil && c.role == Leader {
		return p.match
	}
	return 0
}

// HeardWithin reports whether the leader has received an answer from the member within the period. It is always true for
// the replica itself, and false for other members if this replica is not the leader. A member counts as heard when the leader
// starts to replicate to it.
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
		m.Term = c.hardState.Term
	}
	c.effects.Messages = append(c.effects.Messages, m)
}

func (c *Core) resetDeadline(now time.Duration) {
	jitter := int64(c.timing.ElectionMax - c.timing.ElectionMin)
	c.deadline = now + c.timing.ElectionMin + time.Duration(c.random.Int64N(jitter+1))
}

func (c *Core) setTerm(term uint64, vote ReplicaID) {
	c.hardState = HardState{Term: term, Vote: vote}
	c.hardStateDirty = true
}

// adoptMembers puts the newest configuration in the log into effect, committed or not.
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
	c.effects.Append = append(c.effects.Append, entries...)
}

// appendAsLeader appends an entry with the next index and the current term.
func (c *Core) appendAsLeader(e Entry) Entry {
	e.Index, e.Term = c.log.lastIndex()+1, c.hardState.Term
	c.appendLog(e)
	return e
}

func (c *Core) committedOwnTerm() bool {
	term, ok := c.log.term(c.commit)
	return ok && term == c.hardState.Term
}

// SnapshotAt returns a snapshot with data as the state at the index. Returns false if the index is not committed or no
// longer in the log.
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
