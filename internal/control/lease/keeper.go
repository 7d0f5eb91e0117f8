package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Drift of clocks between hosts that leases allow for, as a fraction of the lease time.
const (
	driftNumerator   = 1
	driftDenominator = 20
)

// Timing are the times that grants are kept by.
type Timing struct {
	lease   time.Duration
	maxHold time.Duration
}

// NewTiming returns terms with the lease time and the longest deadline towards upstreams that do not check fences.
func NewTiming(lease, maxHold time.Duration) Timing { return Timing{lease: lease, maxHold: maxHold} }

// Lease returns how long a lease lasts for its holder.
func (t Timing) Lease() time.Duration { return t.lease }

// surelyOver returns how long after its last renewal a lease is over by every clock.
func (t Timing) surelyOver() time.Duration {
	return t.lease + t.lease*driftNumerator/driftDenominator
}

// upstreamLease is what the leader knows of one upstream.
type upstreamLease struct {
	renewedAt time.Duration
	sequence  uint64
	held      uint64
	condemned bool
}

// entryLease is what the leader knows of one entry host.
type entryLease struct {
	incarnation uint64
	joinedAt    uint64
	renewedAt   time.Duration
	applied     uint64
	oldest      uint64
	condemned   bool
}

// sliceName names a slice across services.
type sliceName struct {
	service string
	start   uint64
}

// handover is what must have happened before a revoked slice can go on.
type handover struct {
	owner     uint32
	fence     uint64
	needHeld  uint64
	needTable uint64
	since     time.Duration
	last      uint64
	freed     bool
	finishing time.Duration
}

// Manager holds the leases; it lives as long as one leadership does.
type Manager struct {
	terms      Timing
	startedAt  time.Duration
	upstreams  map[uint32]*upstreamLease
	entries    map[string]*entryLease
	ghostsGone time.Duration
	handovers  map[sliceName]*handover
	slicesAt   uint64
	grants     grantIndex
	tokens     map[string]tokens
}

// NewManager returns the leases of a leader that took over at now: all are live for one full lease time, and a request
// of an entry host dropped before may still be on its way.
func NewManager(terms Timing, now time.Duration, s *state.State) *Manager {
	k := &Manager{terms: terms, startedAt: now, upstreams: map[uint32]*upstreamLease{}, entries: map[string]*entryLease{},
		handovers: map[sliceName]*handover{}, tokens: map[string]tokens{}, ghostsGone: now + terms.surelyOver() + terms.maxHold + table.MaxSkew}
	k.Update(now, s)
	return k
}

// Update brings the leases in line with a changed state.
func (k *Manager) Update(now time.Duration, s *state.State) {
	for _, u := range s.Upstreams() {
		if k.upstreams[u.Number] == nil {
			k.upstreams[u.Number] = &upstreamLease{renewedAt: now}
		}
	}
	for number := range k.upstreams {
		if _, ok := s.Upstream(number); !ok {
			delete(k.upstreams, number)
		}
	}
	k.followEntries(now, s)
	if changed := s.LastSliceChange(); changed != k.slicesAt {
		k.slicesAt = changed
		k.followHandovers(now, s)
	}
}

func (k *Manager) followEntries(now time.Duration, s *state.State) {
	for _, e := range s.Entries() {
		if l := k.entries[e.Name]; l == nil || l.incarnation != e.Incarnation {
			if l != nil {
				k.noteGhost(l)
			}
			k.entries[e.Name] = &entryLease{incarnation: e.Incarnation, joinedAt: e.JoinedAt, renewedAt: now}
		}
	}
	for name, l := range k.entries {
		if _, ok := s.Entry(name); !ok {
			k.noteGhost(l)
			delete(k.entries, name)
		}
	}
}

// noteGhost keeps moves away from unchecking upstreams waiting until requests of a dropped entry host have ended.
func (k *Manager) noteGhost(l *entryLease) {
	k.ghostsGone = max(k.ghostsGone, l.renewedAt+k.terms.surelyOver()+k.terms.maxHold+table.MaxSkew)
}

func (k *Manager) followHandovers(now time.Duration, s *state.State) {
	current := map[sliceName]bool{}
	for _, v := range s.TableNames() {
		set, _ := s.Table(v)
		for i := range set.Len() {
			e := set.At(i)
			if !e.Moving() {
				continue
			}
			name := sliceName{service: v, start: e.Start}
			current[name] = true
			if h := k.handovers[name]; h == nil || h.fence != e.Fence || h.owner != e.Owner {
				owner, _ := s.Upstream(e.Owner)
				k.handovers[name] = &handover{owner: e.Owner, fence: e.Fence, needHeld: owner.GrantsVersion,
					needTable: s.Version(), since: now, last: set.Last(i)}
			}
		}
	}
	for name := range k.handovers {
		if !current[name] {
			delete(k.handovers, name)
		}
	}
}

// RenewEntry renews the lease of an entry host. An incarnation that is not in the state, or whose end is already
// proposed, gets none; nor does one whose table is older than its own join, as a handover that was finished before it
// joined did not wait for it.
func (k *Manager) RenewEntry(now time.Duration, r table.Renewal) (joined bool) {
	l := k.entries[r.Host.Name]
	if l == nil || l.incarnation != r.Host.Incarnation || l.condemned {
		return false
	}
	l.renewedAt = now
	l.applied, l.oldest = max(l.applied, r.Applied), max(l.oldest, r.Oldest)
	return r.Applied >= l.joinedAt
}

// RenewUpstream renews an upstream's lease and returns its grants where they are not those it holds. An announcement that
// comes twice is answered twice and renews once, and one that was held on its way renews from before that, as its sender
// counts the lease from when it sent it. What the upstream says of its own health and load is not read, as it may lag or
// mislead.
func (k *Manager) RenewUpstream(now time.Duration, s *state.State, a table.Announcement) (g table.GrantResponse) {
	g = table.GrantResponse{Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence, Status: table.GrantStale}
	u, ok := s.UpstreamNamed(a.Name)
	if !ok || u.Incarnation < a.Incarnation {
		if a.Incarnation > s.NewestIncarnation(a.Name) {
			g.Status = table.GrantJoining
		}
		return g
	}
	l := k.upstreams[u.Number]
	if u.Incarnation != a.Incarnation || l == nil || l.condemned {
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
		k.takeReport(s, u, a, a.Sequence > l.sequence)
	}
	l.sequence, l.held = a.Sequence, max(l.held, a.Held)
	g.Status, g.LeaseMillis, g.Version = table.GrantHeld, k.terms.lease.Milliseconds(), u.GrantsVersion
	g.Draining = s.Drained(u)
	switch {
	case a.Reports:
		g.Changed, g.Grants = true, k.tokens[u.Service].mark(k.grants.of(s, u))
	case a.Held != u.GrantsVersion:
		g.Changed, g.Grants = true, k.grants.of(s, u)
	}
	return g
}

// Live reports whether the upstream's lease may still be running.
func (k *Manager) Live(now time.Duration, number uint32) bool {
	l := k.upstreams[number]
	return l != nil && !l.condemned && now-l.renewedAt < k.terms.surelyOver()
}

// RecentlyRenewed reports whether the upstream has renewed within half a lease time, so that it may be given more.
func (k *Manager) RecentlyRenewed(now time.Duration, number uint32) bool {
	l := k.upstreams[number]
	return l != nil && !l.condemned && now-l.renewedAt < k.terms.lease/2
}

// EntryLive reports whether the entry host's lease may still be running.
func (k *Manager) EntryLive(now time.Duration, name string) bool {
	l := k.entries[name]
	return l != nil && now-l.renewedAt < k.terms.surelyOver()
}

// EntryApplied returns the table version that the entry host said it applied.
func (k *Manager) EntryApplied(name string) uint64 {
	if l := k.entries[name]; l != nil {
		return l.applied
	}
	return 0
}

// Handovers returns how many slices wait for their owner to let go.
func (k *Manager) Handovers() int { return len(k.handovers) }

// Due returns the commands that the passing of time allows: entry hosts and upstreams whose leases are surely over,
// and slices whose handover is complete. What is returned counts as proposed.
func (k *Manager) Due(now time.Duration, s *state.State) (commands []state.Command) {
	for _, name := range slices.Sorted(maps.Keys(k.entries)) {
		l := k.entries[name]
		if !l.condemned && now-l.renewedAt >= k.terms.surelyOver() {
			l.condemned = true
			commands = append(commands, state.Command{DropEntry: &state.DropEntry{Name: name, Incarnation: l.incarnation}})
		}
	}
	if numbers := k.lapsed(now, s); len(numbers) > 0 {
		commands = append(commands, state.Command{DropUpstreams: &state.DropUpstreams{Numbers: numbers}})
	}
	if operations := k.finishable(now, s); len(operations) > 0 {
		commands = append(commands, state.Command{Plan: &state.Plan{Operations: operations}})
	}
	return commands
}

// lapsed condemns the upstreams that have surely lost their lease and returns them.
func (k *Manager) lapsed(now time.Duration, s *state.State) (numbers []uint32) {
	for _, u := range s.Upstreams() {
		l := k.upstreams[u.Number]
		if l == nil || l.condemned || now-l.renewedAt < k.patience(s, u) {
			continue
		}
		if u.ChecksFence || k.tableSettled(now, s, u) {
			l.condemned = true
			numbers = append(numbers, u.Number)
			k.forgetOwned(s, u)
		}
	}
	return numbers
}

// unkeyedPatience is how long an upstream that owns no keys stays listed without a word: nothing waits for its lease, and
// entry hosts see for themselves whether it answers. It covers a partition between control and upstreams.
const unkeyedPatience = 30 * time.Second

// patience returns how long after its last renewal an upstream is given up.
func (k *Manager) patience(s *state.State, u table.Upstream) time.Duration {
	if _, keyed := s.Table(u.Service); !keyed && u.Reports && !s.Drained(u) {
		return max(unkeyedPatience, k.terms.surelyOver())
	}
	return k.terms.surelyOver()
}

// forgetOwned drops what was left for an upstream that was lost, as it may have taken it over and changed the keys since.
func (k *Manager) forgetOwned(s *state.State, u table.Upstream) {
	set, ok := s.Table(u.Service)
	for i := 0; ok && u.Reports && i < set.Len(); i++ {
		e := set.At(i)
		h := k.handovers[sliceName{service: u.Service, start: e.Start}]
		if e.Owner == u.Number && (h == nil || !h.freed) {
			k.DropHandover(u.Service, e.Start, set.Last(i))
		}
	}
}

// tableSettled reports whether no entry host can still send to an unchecking upstream: each of its slices is being
// handed over and that is known everywhere.
func (k *Manager) tableSettled(now time.Duration, s *state.State, u table.Upstream) bool {
	set, _ := s.Table(u.Service)
	for i := range set.Len() {
		e := set.At(i)
		if e.Owner != u.Number {
			continue
		}
		h := k.handovers[sliceName{service: u.Service, start: e.Start}]
		if !e.Moving() || h == nil || !k.entriesPast(now, h.needTable) {
			return false
		}
	}
	return true
}

// entriesPast reports whether every request that was sent by a table older than the version has ended.
func (k *Manager) entriesPast(now time.Duration, version uint64) bool {
	if now < k.ghostsGone {
		return false
	}
	for _, l := range k.entries {
		if l.oldest < version {
			return false
		}
	}
	return true
}

// finishable returns the handovers whose old owner has surely let go.
func (k *Manager) finishable(now time.Duration, s *state.State) (operations []state.Operation) {
	for name, h := range k.handovers {
		set, ok := s.Table(name.service)
		if !ok {
			continue
		}
		e, ok := set.StartsAt(name.start)
		if !ok || !e.Moving() || e.Fence != h.fence || !k.released(now, s, h) {
			continue
		}
		if next, _ := s.Upstream(e.Next); next.Reports {
			continue
		}
		operations = append(operations, state.Operation{Kind: state.FinishMove, Service: name.service, Start: e.Start,
			Fence: e.Fence, To: e.Next})
	}
	slices.SortFunc(operations, func(a, b state.Operation) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Start, b.Start))
	})
	return operations
}

// released reports whether the old owner of a handover acknowledged the revoke or has surely lost its lease, and, where
// it does not check fences, whether no request can still reach it.
func (k *Manager) released(now time.Duration, s *state.State, h *handover) bool {
	owner, ok := s.Upstream(h.owner)
	l := k.upstreams[h.owner]
	if !ok || l == nil {
		return true
	}
	if !h.freed && l.held < h.needHeld && now-l.renewedAt < k.terms.surelyOver() {
		return false
	}
	return owner.ChecksFence || k.entriesPast(now, h.needTable)
}
