package lease

import (
	"cmp"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Times of lateWorld.
const (
	worldStep      = 50 * time.Millisecond
	worldLease     = 1200 * time.Millisecond
	worldHeartbeat = 150 * time.Millisecond
	answerLimit    = 200 * time.Millisecond  // how long an upstream waits for a response
	settlingSteps  = 120                     // after the last failure; more than two leases
	longestDelay   = 1500 * time.Millisecond // of a report that arrives late
)

// lateWorld is a control group in which the leader changes at any moment, with upstreams whose reports and responses may be lost or
// arrive late. It checks that no hash is held by two upstreams.
type lateWorld struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	now       time.Duration
	index     uint64
	state     *state.State
	manager   *Manager
	upstreams []*lateUpstream
	late      []lateReport
	quiet     bool // nothing fails any more
}

// lateReport is a report that arrives once nobody waits for its response.
type lateReport struct {
	at           time.Duration
	announcement table.Announcement
}

// lateUpstream is an upstream that sends one report at a time.
type lateUpstream struct {
	name        string
	incarnation uint64
	sequence    uint64
	holds       []table.Grant
	busy        []table.Grant // ranges that it no longer holds and still works on
	holdsUntil  time.Duration
	nextAt      time.Duration
	response    table.GrantResponse
	sentAt      time.Duration // when the report was sent that is waited for
	responseAt  time.Duration // when the response arrives, or zero
	cutUntil    time.Duration // until then all its reports are lost or late
	downUntil   time.Duration
}

func newLateWorld(t *testing.T, seed uint64, upstreams int) *lateWorld {
	w := &lateWorld{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), state: state.New()}
	w.apply(state.Command{Patch: &state.Patch{Items: []items.Item{{Kind: items.KindService, Name: "s", Version: 1, Service: &items.Service{Keyed: true}}}}})
	w.elect()
	for i := range upstreams {
		w.upstreams = append(w.upstreams, &lateUpstream{name: string(rune('a' + i)), incarnation: 1})
	}
	return w
}

// fails reports whether something fails now that fails with the given chance.
func (w *lateWorld) fails(percent int) bool { return !w.quiet && w.random.IntN(100) < percent }

func (w *lateWorld) apply(c state.Command) {
	w.index++
	data, err := state.EncodeCommand(c)
	if err == nil {
		_, err = w.state.Apply(w.index, data)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	if w.manager != nil {
		w.manager.Update(w.now, w.state)
	}
}

// elect lets another control host lead, which has the replicated state only.
func (w *lateWorld) elect() {
	data, err := w.state.Encode()
	if err == nil {
		w.state, err = state.Decode(data)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	w.manager = NewManager(NewTiming(worldLease, 0), w.now, w.state)
}

// answer handles a report as the leader and returns the response. It returns false if there is none, as the leader changed or a commit
// takes longer than the upstream waits.
func (w *lateWorld) answer(a table.Announcement) (g table.GrantResponse, ok bool) {
	for range 20 {
		if g = w.manager.RenewUpstream(w.now, w.state, a); g.Status == table.GrantJoining {
			w.join(a)
			continue
		}
		if g.Status != table.GrantHeld {
			return g, true
		}
		u, _ := w.state.UpstreamNamed(a.Name)
		c := w.manager.FinishMovesTo(w.now, w.state, u.Number)
		if !c.Pending {
			return g, true
		}
		if len(c.Operations) == 0 {
			return g, false
		}
		if !w.fails(10) {
			w.apply(state.Command{Plan: &state.Plan{Operations: c.Operations}})
		}
		if w.fails(10) {
			w.elect()
			return g, false
		}
	}
	return g, false
}

func (w *lateWorld) join(a table.Announcement) {
	var older []uint32
	for _, u := range w.state.Upstreams() {
		if u.Name == a.Name && u.Incarnation < a.Incarnation {
			older = append(older, u.Number)
		}
	}
	if len(older) > 0 {
		w.manager.Evict(w.state, older)
		w.apply(state.Command{DropUpstreams: &state.DropUpstreams{Numbers: older}})
	}
	w.apply(state.Command{JoinUpstream: &table.Upstream{Name: a.Name, Incarnation: a.Incarnation, Service: "s", Address: a.Name, Slots: 1,
		Connections: 1, ChecksFence: true, Reports: true}})
}

func (w *lateWorld) step() {
	w.now += worldStep
	for _, u := range w.upstreams {
		w.stepUpstream(u)
	}
	for i := 0; i < len(w.late); i++ {
		if l := w.late[i]; l.at <= w.now {
			w.late = slices.Delete(w.late, i, i+1)
			w.answer(l.announcement)
			i--
		}
	}
	for _, c := range w.manager.Due(w.now, w.state) {
		w.apply(c)
	}
	w.plan()
	if w.fails(3) {
		w.elect()
	}
	w.check()
}

func (w *lateWorld) stepUpstream(u *lateUpstream) {
	switch {
	case w.now < u.downUntil:
		return
	case u.downUntil > 0:
		*u = lateUpstream{name: u.name, incarnation: u.incarnation + 1}
	case w.fails(1):
		u.downUntil = w.now + time.Duration(1+w.random.IntN(40))*worldStep
		return
	}
	if w.now >= u.holdsUntil {
		u.holds = nil
	}
	if w.fails(2) {
		u.cutUntil = w.now + time.Duration(1+w.random.IntN(60))*worldStep
	}
	if u.responseAt > 0 && w.now >= u.responseAt {
		w.take(u)
	}
	if w.now >= u.nextAt {
		w.report(u)
	}
}

// report sends the next report of an upstream, which is answered at once, is answered without the response getting through, or is late.
func (w *lateWorld) report(u *lateUpstream) {
	u.sequence++
	a := table.Announcement{Name: u.name, Incarnation: u.incarnation, Sequence: u.sequence, Service: "s", Address: u.name, Reports: true,
		Holds: slices.Concat(u.holds, u.busy)}
	if !w.fails(50) {
		u.busy = nil
	}
	u.sentAt, u.nextAt = w.now, w.now+answerLimit
	switch {
	case w.now < u.cutUntil || w.fails(10):
		w.late = append(w.late, lateReport{at: w.now + time.Duration(w.random.Int64N(int64(longestDelay))), announcement: a})
	case w.fails(11):
		w.answer(a)
	default:
		if g, ok := w.answer(a); ok && g.Status == table.GrantHeld {
			u.response, u.responseAt = g, w.now+time.Duration(w.random.Int64N(int64(answerLimit)))
		}
	}
}

// take applies a response at an upstream, which may go on with work on a range that it no longer holds.
func (w *lateWorld) take(u *lateUpstream) {
	g := u.response
	u.responseAt = 0
	for _, h := range u.holds {
		if !holdsAny(g.Grants, h.From, h.To) && w.fails(30) {
			u.busy = append(u.busy, h)
		}
	}
	u.nextAt = w.now + worldHeartbeat
	u.holds, u.holdsUntil = g.Grants, u.sentAt+worldLease
}

// plan applies random operations, and assigns slices without an owner.
func (w *lateWorld) plan() {
	set, _ := w.state.Table("s")
	var ready []uint32
	for _, u := range w.state.Upstreams() {
		if w.manager.RecentlyRenewed(w.now, u.Number) {
			ready = append(ready, u.Number)
		}
	}
	if len(ready) == 0 {
		return
	}
	to := func() uint32 { return ready[w.random.IntN(len(ready))] }
	kinds := []state.OperationKind{state.BeginMove, state.BeginMove, state.BeginMove, state.Merge, state.Refence, state.Split}
	var operations []state.Operation
	add := func(i int, kind state.OperationKind, to uint32) {
		e := set.At(i)
		operations = append(operations, state.Operation{Kind: kind, Service: "s", Start: e.Start, Fence: e.Fence, To: to, At: e.Start + (set.Last(i)-e.Start)/2 + 1})
	}
	unowned := to()
	for i := range set.Len() {
		if e := set.At(i); e.Owner == 0 && !e.Moving() {
			add(i, state.Assign, unowned)
		}
	}
	for range w.random.IntN(3) {
		if w.quiet {
			break
		}
		kind := kinds[w.random.IntN(len(kinds))]
		add(w.random.IntN(min(set.Len(), 8)), kind, to())
	}
	operations = w.manager.AddReports(w.now, w.state, operations)
	if len(operations) > 0 && !w.fails(10) {
		w.apply(state.Command{Plan: &state.Plan{Operations: operations}})
	}
}

// check fails if two running upstreams hold the same hash.
func (w *lateWorld) check() {
	type holder struct {
		name  string
		grant table.Grant
	}
	var all []holder
	for _, u := range w.upstreams {
		if w.now < u.downUntil || w.now >= u.holdsUntil {
			continue
		}
		for _, g := range slices.Concat(u.holds, u.busy) {
			for _, o := range all {
				if o.name != u.name && o.grant.From <= g.To && g.From <= o.grant.To {
					w.t.Fatalf("seed %d: at %v both %s (fence %d) and %s (fence %d) hold %x to %x", w.seed, w.now, o.name, o.grant.Fence, u.name, g.Fence, max(g.From, o.grant.From), min(g.To, o.grant.To))
				}
			}
			all = append(all, holder{name: u.name, grant: g})
		}
	}
}

// checkComplete fails if a hash has no holder.
func (w *lateWorld) checkComplete() {
	var all []table.Grant
	for _, u := range w.upstreams {
		all = append(all, u.holds...)
	}
	slices.SortFunc(all, func(a, b table.Grant) int { return cmp.Compare(a.From, b.From) })
	if !isEverything(all) {
		w.t.Fatalf("seed %d: at %v nobody holds some hashes: %v", w.seed, w.now, all)
	}
}

// TestLateReportsGiveNoTwoOwners guards against a report from before a grant that the next leader takes for a release, whichever command
// gave the slice to its owner, and against slices that stay without an owner. EBONYRILL_SEED repeats one seed, EBONYRILL_SOAK_SEEDS sets their number.
func TestLateReportsGiveNoTwoOwners(t *testing.T) {
	first, count := uint64(1), uint64(100)
	if n, err := strconv.ParseUint(os.Getenv("EBONYRILL_SOAK_SEEDS"), 10, 64); err == nil {
		count = n
	}
	if n, err := strconv.ParseUint(os.Getenv("EBONYRILL_SEED"), 10, 64); err == nil {
		first, count = n, 1
	}
	for seed := first; seed < first+count; seed++ {
		w := newLateWorld(t, seed, 3)
		for range 400 {
			w.step()
		}
		w.quiet = true
		for range settlingSteps {
			w.step()
		}
		w.checkComplete()
	}
}
