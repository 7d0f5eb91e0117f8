package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Leases allow for a clock drift between hosts of 1/20 of the lease time.
const (
	driftNumerator   = 1
	driftDenominator = 20
)

// Timing holds the lease time and the longest time that a request may take.
type Timing struct {
	lease time.Duration
	// maxHold is the longest deadline of a request to an upstream that does not check fencing tokens.
	maxHold time.Duration
}

// NewTiming returns a Timing with the lease time and the longest deadline of requests to upstreams that do not check fencing
// tokens.
func NewTiming(lease, maxHold time.Duration) Timing { return Timing{lease: lease, maxHold: maxHold} }

// Lease returns the lease time, which the holder counts from when it sent the renewal.
func (t Timing) Lease() time.Duration { return t.lease }

// expiry returns how long after its last renewal the leader treats a lease as expired. It is longer than the lease time, so
// that the lease has expired for its holder too, whose clock may be slower.
func (t Timing) expiry() time.Duration {
	return t.lease + t.lease*driftNumerator/driftDenominator
}

// upstreamLease is the lease of one upstream.
type upstreamLease struct {
	renewedAt time.Duration
	sequence  uint64
	// ackedVersion is the newest grants version that the upstream has acknowledged.
	ackedVersion uint64
	// limit is what the upstream accepts in one response.
	limit responseLimit
	// refencedAt is when FinishMovesTo last returned operations that give the upstream's slices new fencing tokens, and refencedIndex the
	// log index of the last slice change then.
	refencedAt    time.Duration
	refencedIndex uint64
	// unheld tracks grants that the upstream does not report as held.
	unheld unheldGrants
	// report is what the last announcement lists as held.
	report report
	// unproven counts the slices that TakeUnproven returns.
	unproven int
	// ended is set once the upstream's removal is proposed; the lease is not renewed from then on.
	ended bool
}

// entryLease is the lease of one entry host.
type entryLease struct {
	incarnation uint64
	// joinedAt is the log index of the entry host's join.
	joinedAt  uint64
	renewedAt time.Duration
	// applied is the version of the newest table that the entry host has applied, oldestInUse of the oldest one by which a
	// request in flight was sent.
	applied     uint64
	oldestInUse uint64
	// ended is set once the entry host's removal is proposed; the lease is not renewed from then on.
	ended bool
}

// sliceKey identifies a slice by its service and first hash.
type sliceKey struct {
	service string
	start   uint64
}

// handover is the move of a slice that has been revoked from its owner and not granted to the next owner yet.
type handover struct {
	owner uint32
	fence uint64
	// ackVersion is the grants version, without the slice, that the owner must acknowledge.
	ackVersion uint64
	// tableVersion is a table version in which the slice is revoked. An owner that does not check fencing tokens may still
	// receive requests that were sent by an older table.
	tableVersion uint64
	startedAt    time.Duration
	// last is the last hash of the slice.
	last uint64
	// reportedIn is the sequence number of a report in which the owner lists the slice with its fencing token, or zero.
	reportedIn uint64
	// released is set once the owner reports that it no longer holds any part of the slice.
	released bool
	// unproven is set once a report that lists no part of the slice was no proof of its release.
	unproven bool
	// due is set once the slice can be granted to the next owner, which was first seen at dueSince.
	due      bool
	dueSince time.Duration
	// proposedAt is when FinishMovesTo last returned the operation that completes the move, or zero.
	proposedAt time.Duration
}

// Manager holds the leases and the moves of slices during one leadership. It is not safe for concurrent use.
type Manager struct {
	timing    Timing
	startedAt time.Duration
	upstreams map[uint32]*upstreamLease
	entries   map[string]*entryLease
	// inFlightUntil is when all requests of entry hosts that were dropped have ended.
	inFlightUntil time.Duration
	handovers     map[sliceKey]*handover
	// slicesIndex is the log index of the last slice change that handovers reflects.
	slicesIndex uint64
	// electedIndex is the log index of the last slice change before this leadership.
	electedIndex uint64
	tokens       tokenAges
	grants       grantIndex
	// handoverData holds, by service, the handover data that no owner has taken over yet.
	handoverData map[string]handoverData
}

// NewManager returns the leases of a leader elected at now. All leases count as renewed at now, and entry hosts that were
// dropped before count as having requests in flight.
func NewManager(timing Timing, now time.Duration, s *state.State) *Manager {
	m := &Manager{timing: timing, startedAt: now, upstreams: map[uint32]*upstreamLease{}, entries: map[string]*entryLease{},
		handovers: map[sliceKey]*handover{}, handoverData: map[string]handoverData{}, inFlightUntil: now + timing.expiry() + timing.maxHold + table.MaxSkew}
	m.electedIndex = s.LastSliceChange()
	m.tokens = newTokenAges(timing, m.electedIndex)
	m.Update(now, s)
	return m
}

// Update updates leases and handovers after a change of the state.
func (m *Manager) Update(now time.Duration, s *state.State) {
	for _, u := range s.Upstreams() {
		if m.upstreams[u.Number] == nil {
			sequence, _ := s.Lost(u.Name)
			m.upstreams[u.Number] = &upstreamLease{renewedAt: now, sequence: sequence}
		}
	}
	for number := range m.upstreams {
		if _, ok := s.Upstream(number); !ok {
			delete(m.upstreams, number)
		}
	}
	m.updateEntries(now, s)
	if changed := s.LastSliceChange(); changed != m.slicesIndex {
		m.slicesIndex = changed
		m.tokens.add(now, changed)
		m.updateHandovers(now, s)
	}
}

func (m *Manager) updateEntries(now time.Duration, s *state.State) {
	for _, e := range s.Entries() {
		if l := m.entries[e.Name]; l == nil || l.incarnation != e.Incarnation {
			if l != nil {
				m.noteDroppedEntry(l)
			}
			m.entries[e.Name] = &entryLease{incarnation: e.Incarnation, joinedAt: e.JoinedAt, renewedAt: now}
		}
	}
	for name, l := range m.entries {
		if _, ok := s.Entry(name); !ok {
			m.noteDroppedEntry(l)
			delete(m.entries, name)
		}
	}
}

// noteDroppedEntry delays moves from upstreams that do not check fencing tokens until the requests of a dropped entry host
// have ended.
func (m *Manager) noteDroppedEntry(l *entryLease) {
	m.inFlightUntil = max(m.inFlightUntil, l.renewedAt+m.timing.expiry()+m.timing.maxHold+table.MaxSkew)
}

func (m *Manager) updateHandovers(now time.Duration, s *state.State) {
	current := map[sliceKey]bool{}
	for _, svc := range s.TableNames() {
		set, _ := s.Table(svc)
		for i := range set.Len() {
			e := set.At(i)
			if !e.Moving() {
				continue
			}
			key := sliceKey{service: svc, start: e.Start}
			current[key] = true
			if h := m.handovers[key]; h == nil || h.fence != e.Fence || h.owner != e.Owner {
				owner, _ := s.Upstream(e.Owner)
				m.handovers[key] = &handover{owner: e.Owner, fence: e.Fence, ackVersion: owner.GrantsVersion,
					tableVersion: s.Version(), startedAt: now, last: set.Last(i),
					reportedIn: s.MoveReport(svc, e.Start)}
			}
		}
	}
	for key := range m.handovers {
		if !current[key] {
			delete(m.handovers, key)
		}
	}
}

// RenewEntry renews the lease of an entry host and reports whether the host may serve. It may not if its incarnation is not
// in the state, if its removal is already proposed, or if its table is older than its own join: handovers that completed
// before the join did not wait for this host.
func (m *Manager) RenewEntry(now time.Duration, r table.Renewal) (joined bool) {
	l := m.entries[r.Host.Name]
	if l == nil || l.incarnation != r.Host.Incarnation || l.ended {
		return false
	}
	l.renewedAt = now
	l.applied, l.oldestInUse = max(l.applied, r.Applied), max(l.oldestInUse, r.Oldest)
	return r.Applied >= l.joinedAt
}

// RenewUpstream renews an upstream's lease and returns its grants if they differ from those it holds. An upstream that
// reports the slices it holds always gets them. A duplicate of an announcement is answered, but does not renew the lease. A
// delayed announcement renews the lease as of the time before the delay, as the upstream counts the lease from when it sent
// the announcement. The health and load in the announcement are not used, as they may be outdated or wrong.
func (m *Manager) RenewUpstream(now time.Duration, s *state.State, a table.Announcement) (g table.GrantResponse) {
	g = table.GrantResponse{Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence, Status: table.GrantStale}
	u, ok := s.UpstreamNamed(a.Name)
	if !ok || u.Incarnation < a.Incarnation {
		if a.Incarnation > s.NewestIncarnation(a.Name) || joinsAgain(s, a) {
			g.Status = table.GrantJoining
		}
		return g
	}
	l := m.upstreams[u.Number]
	if u.Incarnation != a.Incarnation || l == nil || l.ended {
		return g
	}
	if a.Sequence < l.sequence && a.Reports {
		g.Status = table.GrantLate
		return g
	}
	if a.Sequence < l.sequence {
		g.Status, g.Reason = table.GrantRefused, "a later announcement was seen"
		return g
	}
	if a.Sequence > l.sequence {
		l.renewedAt = max(l.renewedAt, now-a.Age.Min())
	}
	if a.Reports {
		m.applyReport(now, u, a, a.Sequence > l.sequence)
		l.unheld.update(now, m.grants.ownedBy(s, u), a.Holds)
	}
	l.sequence, l.ackedVersion, l.limit = a.Sequence, max(l.ackedVersion, a.Held), limitOf(a)
	g.Status, g.LeaseMillis, g.Version = table.GrantHeld, m.timing.lease.Milliseconds(), u.GrantsVersion
	g.Draining = s.Drained(u)
	switch {
	case a.Reports:
		offered, _ := m.offered(now, s, u)
		g.Changed, g.Grants = true, m.handoverData[u.Service].attach(offered)
	case a.Held != u.GrantsVersion:
		g.Changed, g.Grants = true, m.grants.ownedBy(s, u)
	}
	return g
}

// joinsAgain reports whether an announcement shows that an upstream whose lease expired is back. One that was sent before the loss and
// arrives late does not.
func joinsAgain(s *state.State, a table.Announcement) bool {
	sequence, lost := s.Lost(a.Name)
	return lost && a.Reports && a.Incarnation == s.NewestIncarnation(a.Name) && a.Sequence > sequence
}

// Live reports whether the upstream may still hold its lease.
func (m *Manager) Live(now time.Duration, number uint32) bool {
	l := m.upstreams[number]
	return l != nil && !l.ended && now-l.renewedAt < m.timing.expiry()
}

// earlierLeasesExpired reports whether all leases from earlier leaders have expired for the upstreams too.
func (m *Manager) earlierLeasesExpired(now time.Duration) bool {
	return now-m.startedAt >= m.timing.expiry()
}

// RecentlyRenewed reports whether the upstream has renewed its lease within half a lease time, so that it may be given slices.
func (m *Manager) RecentlyRenewed(now time.Duration, number uint32) bool {
	l := m.upstreams[number]
	return l != nil && !l.ended && now-l.renewedAt < m.timing.lease/2
}

// EntryLive reports whether the entry host may still hold its lease.
func (m *Manager) EntryLive(now time.Duration, name string) bool {
	l := m.entries[name]
	return l != nil && now-l.renewedAt < m.timing.expiry()
}

// EntryApplied returns the newest table version that the entry host has reported as applied, or zero for an unknown host.
func (m *Manager) EntryApplied(name string) uint64 {
	if l := m.entries[name]; l != nil {
		return l.applied
	}
	return 0
}

// Handovers returns the number of slices that are being moved.
func (m *Manager) Handovers() int { return len(m.handovers) }

// Due returns the commands to propose at now: to drop entry hosts and upstreams whose leases have expired, and to complete
// the moves of slices that have been released. Leases of dropped hosts and upstreams are marked as ended, so that they are
// dropped once.
func (m *Manager) Due(now time.Duration, s *state.State) (commands []state.Command) {
	for _, name := range slices.Sorted(maps.Keys(m.entries)) {
		l := m.entries[name]
		if !l.ended && now-l.renewedAt >= m.timing.expiry() {
			l.ended = true
			commands = append(commands, state.Command{DropEntry: &state.DropEntry{Name: name, Incarnation: l.incarnation}})
		}
	}
	if numbers, sequences := m.expired(now, s); len(numbers) > 0 {
		commands = append(commands, state.Command{DropUpstreams: &state.DropUpstreams{Numbers: numbers, Sequences: sequences}})
	}
	if operations := m.finishable(now, s); len(operations) > 0 {
		commands = append(commands, state.Command{Plan: &state.Plan{Operations: operations}})
	}
	return commands
}

// expired returns the upstreams whose lease has expired, with their last sequence numbers, and marks the leases as ended. An
// upstream that does not check fencing tokens is left out until no request can reach it.
func (m *Manager) expired(now time.Duration, s *state.State) (numbers []uint32, sequences []uint64) {
	for _, u := range s.Upstreams() {
		l := m.upstreams[u.Number]
		if l == nil || l.ended || now-l.renewedAt < m.expiryOf(s, u) {
			continue
		}
		if u.ChecksFence || m.quiesced(now, s, u) {
			l.ended = true
			numbers, sequences = append(numbers, u.Number), append(sequences, l.sequence)
			m.dropHandoverDataFor(s, u)
		}
	}
	return numbers, sequences
}

// unkeyedExpiry is how long an upstream of a service without keys stays listed without renewal. It covers a network
// partition between control hosts and upstreams. That is safe, as no slice waits for the lease and entry hosts detect an
// upstream that does not answer.
const unkeyedExpiry = 30 * time.Second

// expiryOf returns how long after its last renewal an upstream is dropped.
func (m *Manager) expiryOf(s *state.State, u table.Upstream) time.Duration {
	if _, keyed := s.Table(u.Service); !keyed && u.Reports && !s.Drained(u) {
		return max(unkeyedExpiry, m.timing.expiry())
	}
	return m.timing.expiry()
}

// dropHandoverDataFor drops the handover data of the slices that a lost upstream owned and has not released. The upstream may
// have changed the state of these keys since it took the data over.
func (m *Manager) dropHandoverDataFor(s *state.State, u table.Upstream) {
	set, ok := s.Table(u.Service)
	for i := 0; ok && u.Reports && i < set.Len(); i++ {
		e := set.At(i)
		h := m.handovers[sliceKey{service: u.Service, start: e.Start}]
		if e.Owner == u.Number && (h == nil || !h.released) {
			m.DropHandover(u.Service, e.Start, set.Last(i))
		}
	}
}

// quiesced reports whether no request can reach an upstream that does not check fencing tokens: all its slices are being
// moved, and all requests sent by a table from before the moves have ended.
func (m *Manager) quiesced(now time.Duration, s *state.State, u table.Upstream) bool {
	set, _ := s.Table(u.Service)
	for i := range set.Len() {
		e := set.At(i)
		if e.Owner != u.Number {
			continue
		}
		h := m.handovers[sliceKey{service: u.Service, start: e.Start}]
		if !e.Moving() || h == nil || !m.oldRequestsEnded(now, h.tableVersion) {
			return false
		}
	}
	return true
}

// oldRequestsEnded reports whether all requests that entry hosts sent by a table older than the version have ended.
func (m *Manager) oldRequestsEnded(now time.Duration, version uint64) bool {
	if now < m.inFlightUntil {
		return false
	}
	for _, l := range m.entries {
		if l.oldestInUse < version {
			return false
		}
	}
	return true
}

// finishable returns the operations that complete the moves of released slices. Moves to upstreams that report the slices
// they hold are left to FinishMovesTo.
func (m *Manager) finishable(now time.Duration, s *state.State) (operations []state.Operation) {
	for key, h := range m.handovers {
		set, ok := s.Table(key.service)
		if !ok {
			continue
		}
		e, ok := set.StartsAt(key.start)
		if !ok || !e.Moving() || e.Fence != h.fence || !m.released(now, s, h) {
			continue
		}
		if next, _ := s.Upstream(e.Next); next.Reports {
			continue
		}
		operations = append(operations, state.Operation{Kind: state.FinishMove, Service: key.service, Start: e.Start,
			Fence: e.Fence, To: e.Next})
	}
	slices.SortFunc(operations, func(a, b state.Operation) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Start, b.Start))
	})
	return operations
}

// released reports whether the slice of a handover can be granted to the next owner: the old owner has acknowledged the
// revocation or its lease has expired, and if it does not check fencing tokens, no request for the slice can reach it.
func (m *Manager) released(now time.Duration, s *state.State, h *handover) bool {
	owner, ok := s.Upstream(h.owner)
	l := m.upstreams[h.owner]
	if !ok || l == nil {
		return true
	}
	if !h.released && l.ackedVersion < h.ackVersion && now-l.renewedAt < m.timing.expiry() {
		return false
	}
	return owner.ChecksFence || m.oldRequestsEnded(now, h.tableVersion)
}
