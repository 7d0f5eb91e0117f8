package cmds

import (
	"fmt"
	"strconv"
	"strings"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

func compareStrings(a, b string) int { return strings.Compare(a, b) }

// awaitInForce waits until a configuration version or a later one is in force on every entry host.
func awaitInForce(s *session, version uint64) (err error) {
	var lagging []string
	everywhere := s.poll(func() (done bool) {
		status, err := s.status()
		if err != nil || status.ConfigVersion < version {
			return false
		}
		if done, lagging = status.InForce(); done {
			progress("version %d is in force on %d entry hosts", status.ConfigVersion, len(status.Entries))
		} else {
			progress("waiting for %s", strings.Join(lagging, ", "))
		}
		return done
	})
	if everywhere {
		return nil
	}
	return &ErrNotReached{What: fmt.Sprintf("version %d in force everywhere; lagging or cut off: %s", version, strings.Join(lagging, ", "))}
}

// statusCommand implements "status".
type statusCommand struct {
	shared *options
	Wait   bool `long:"wait" description:"wait until the configuration is in force everywhere"`
}

// Execute prints the state of control hosts, entry hosts and configuration.
func (c *statusCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	if c.Wait {
		if err = awaitInForce(s, 0); err != nil {
			return err
		}
	}
	status, err := s.status()
	if err != nil {
		return err
	}
	if c.shared.JSON {
		return c.shared.printJSON(status)
	}
	c.print(status)
	return nil
}

func (c *statusCommand) print(status *oper.StatusResponse) {
	rows := [][]string{{"CONTROL", "DATA CENTRE", "ID", "ROLE", "HEARD", "CAUGHT UP"}}
	for _, m := range status.Members {
		rows = append(rows, []string{m.Address, m.DataCentre, fmt.Sprintf("%x", m.ID), memberRole(m), yesNo(m.Heard), yesNo(m.CaughtUp)})
	}
	c.shared.printTable(rows...)
	rows = [][]string{{"ENTRY", "DATA CENTRE", "ADDRESS", "STATE", "TABLE VERSION", "ITEMS BEHIND"}}
	for _, e := range status.Entries {
		rows = append(rows, []string{e.Name, e.DataCentre, e.Address, entryState(e), strconv.FormatUint(e.Applied, 10), itemsBehind(e)})
	}
	c.shared.printTable(rows...)
	everywhere, lagging := status.InForce()
	c.shared.printf("configuration %d in force everywhere: %s\n", status.ConfigVersion, yesNo(everywhere))
	if len(lagging) > 0 {
		c.shared.printf("lagging or cut off: %s\n", strings.Join(lagging, ", "))
	}
	c.shared.printf("full redundancy: %s\n", yesNo(status.FullRedundancy))
	c.shared.printf("data centres out of service: %s\n", outOfService(status))
	c.shared.printf("upstreams: %d; slices without owner: %d; moves under way: %d\n", len(status.Upstreams), status.Unowned, status.Handovers)
}

func memberRole(m oper.MemberStatus) string {
	switch {
	case m.Leader:
		return "leader"
	case m.Voter:
		return "voter"
	case m.Standby:
		return "standby"
	}
	return "learner"
}

func entryState(e oper.EntryStatus) string {
	switch {
	case e.Lost:
		return "lost"
	case e.Live:
		return "live"
	}
	return "silent"
}

// itemsBehind returns the items whose newest version is not in force on an entry host yet: "all", "none" or a list.
func itemsBehind(e oper.EntryStatus) string {
	if e.All {
		return "all"
	}
	var names []string
	for _, i := range e.Behind {
		names = append(names, fmt.Sprintf("%s %s %d", i.Kind, i.Name, i.Version))
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// upstreamsCommand implements "upstreams".
type upstreamsCommand struct {
	shared *options
}

// Execute prints the upstreams with their slices and load.
func (c *upstreamsCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	status, err := s.status()
	if err != nil {
		return err
	}
	if c.shared.JSON {
		return c.shared.printJSON(status.Upstreams)
	}
	rows := [][]string{{"UPSTREAM", "SERVICE", "DATA CENTRE", "ADDRESS", "STATE", "CHECKS", "SLOTS", "SLICES", "SHARE", "REQUESTS/S"}}
	for _, u := range status.Upstreams {
		rows = append(rows, []string{u.Upstream.Name, u.Upstream.Service, u.Upstream.DataCentre, u.Upstream.Address,
			upstreamState(u), checks(u), strconv.Itoa(u.Upstream.Slots), strconv.Itoa(u.Slices),
			fmt.Sprintf("%.2f%%", 100*u.Share), fmt.Sprintf("%.1f", u.Rate)})
	}
	c.shared.printTable(rows...)
	return nil
}

func upstreamState(u oper.UpstreamStatus) string {
	switch {
	case !u.Live:
		return "silent"
	case u.Draining:
		return "draining"
	}
	return "live"
}

// checks returns what the upstream checks before it runs a request: the fencing token, the request id, both or none.
func checks(u oper.UpstreamStatus) string {
	var list []string
	if u.Upstream.ChecksFence {
		list = append(list, "fence")
	}
	if u.Upstream.ChecksRequestID {
		list = append(list, "requestId")
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, "+")
}

// ownersCommand implements "owners".
type ownersCommand struct {
	shared  *options
	Service string `long:"service" required:"yes" description:"the service that the key belongs to"`
	Args    struct {
		Key string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the upstream that owns the key and the entry host that queues for it.
func (c *ownersCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	resp, err := callLeader[oper.OwnersRequest, oper.OwnersResponse](s, oper.Owners, &oper.OwnersRequest{Service: c.Service, Key: c.Args.Key})
	if err != nil {
		return err
	}
	if c.shared.JSON {
		return c.shared.printJSON(resp)
	}
	c.shared.printTable([]string{"KEY", "HASH", "OWNER", "ADDRESS", "FENCE", "HOME", "MOVING TO"},
		[]string{resp.Key, fmt.Sprintf("%016x", resp.Hash), resp.Owner, resp.Address,
			strconv.FormatUint(resp.Fence, 10), resp.Home, resp.Next})
	return nil
}

// drainCommand implements "drain" and "undrain".
type drainCommand struct {
	shared *options
	on     bool
	Args   struct {
		Name string `positional-arg-name:"UPSTREAM" required:"yes"`
	} `positional-args:"yes"`
}

// Execute starts or ends the drain. After a start it waits until the upstream owns no slices.
func (c *drainCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	if _, err = callLeader[oper.DrainRequest, oper.Empty](s, oper.Drain, &oper.DrainRequest{Name: c.Args.Name, On: c.on}); err != nil {
		return err
	}
	if !c.on {
		c.shared.printf("%s takes keys again\n", c.Args.Name)
		return nil
	}
	return c.awaitDrained(s)
}

func (c *drainCommand) awaitDrained(s *session) (err error) {
	left := 0
	empty := s.poll(func() bool {
		status, err := s.status()
		if err != nil {
			return false
		}
		if left = ownedSlices(status, c.Args.Name); left > 0 {
			progress("%s still owns %d slices", c.Args.Name, left)
		}
		return left == 0
	})
	if empty {
		c.shared.printf("%s owns no keys\n", c.Args.Name)
		return nil
	}
	return &ErrNotReached{What: fmt.Sprintf("drain of %s; it owns %d slices", c.Args.Name, left)}
}

// ownedSlices returns the number of slices that an upstream owns.
func ownedSlices(status *oper.StatusResponse, name string) (n int) {
	for _, u := range status.Upstreams {
		if u.Upstream.Name == name {
			n += u.Slices
		}
	}
	return n
}
