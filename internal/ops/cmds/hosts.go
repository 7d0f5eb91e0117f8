package cmds

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// stepAttempts is the maximum number of attempts for one step of a membership change.
const stepAttempts = 3

// hostsInitCommand implements "hosts init": it bootstraps the control group.
type hostsInitCommand struct {
	shared *options
}

// Execute reads the identity of each control host, bootstraps the group on all of them and waits for a leader. It can be repeated.
func (c *hostsInitCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	request := &oper.BootstrapRequest{}
	for _, address := range s.hosts.Addresses() {
		i, err := wire.Call[oper.Empty, oper.Identity](s.ctx, s.hosts.Client(), address, oper.Identify, &oper.Empty{})
		if err != nil {
			return err
		}
		progress("host %s at %s has identity %x", i.Name, i.Address, i.ID)
		request.Members = append(request.Members, *i)
	}
	for _, m := range request.Members {
		if err = bootstrap(s, m.Address, request); err != nil {
			return err
		}
	}
	for s.ctx.Err() == nil {
		if _, err = s.status(); err == nil {
			c.shared.printf("control group of %d hosts started\n", len(request.Members))
			return nil
		}
	}
	return errors.WithMessage(err, "the group has no leader")
}

// bootstrap sends the group's members to one control host. While the group's leader is bringing a host up to date, the host
// rejects the call until it knows the members, so the call is retried.
func bootstrap(s *session, address string, r *oper.BootstrapRequest) error {
	return s.retry(func() error {
		_, err := wire.Call[oper.BootstrapRequest, oper.Identity](s.ctx, s.hosts.Client(), address, oper.Bootstrap, r)
		return err
	})
}

// retry runs an idempotent step until it succeeds, at most stepAttempts times, with pauses in between.
func (s *session) retry(step func() error) (err error) {
	for range stepAttempts {
		if err = step(); err == nil {
			return nil
		}
		s.pause()
	}
	return err
}

// hostsAddCommand implements "hosts add".
type hostsAddCommand struct {
	shared *options
	Args   struct {
		Address string `positional-arg-name:"ADDRESS" required:"yes"`
	} `positional-args:"yes"`
}

// Execute adds the control host and waits until it is a voter.
func (c *hostsAddCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	if err = addHost(s, c.Args.Address); err != nil {
		return err
	}
	c.shared.printf("%s has a vote\n", c.Args.Address)
	return nil
}

// addHost adds a control host as a learner, waits until it has every committed log entry and promotes it to a voter. It can be
// repeated.
func addHost(s *session, address string) (err error) {
	defer func() { err = errors.WithMessagef(err, "add %s", address) }()
	i, err := wire.Call[oper.Empty, oper.Identity](s.ctx, s.hosts.Client(), address, oper.Identify, &oper.Empty{})
	if err != nil {
		return err
	}
	if err = changeMembers(s, &oper.MembersRequest{Action: oper.AddLearner, Address: address}); err != nil {
		return err
	}
	progress("%s is a learner with identity %x", address, i.ID)
	votes := s.poll(func() bool {
		err = changeMembers(s, &oper.MembersRequest{Action: oper.Promote, ID: i.ID})
		return err == nil
	})
	if votes {
		progress("%s holds every committed entry and votes", address)
	}
	return err
}

// changeMembers performs one step of a membership change. It retries, as the leader rejects a step while another is in progress.
func changeMembers(s *session, r *oper.MembersRequest) error {
	return s.retry(func() error {
		_, err := callLeader[oper.MembersRequest, oper.Empty](s, oper.Members, r)
		return err
	})
}

// hostsRemoveCommand implements "hosts remove".
type hostsRemoveCommand struct {
	shared *options
	Args   struct {
		Host string `positional-arg-name:"HOST" required:"yes" description:"address or id"`
	} `positional-args:"yes"`
}

// Execute removes the control host from the group.
func (c *hostsRemoveCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	id, err := findMember(s, c.Args.Host)
	if err != nil {
		return err
	}
	if err = changeMembers(s, &oper.MembersRequest{Action: oper.Remove, ID: id}); err != nil {
		return err
	}
	c.shared.printf("%s is no longer a member\n", c.Args.Host)
	return nil
}

// findMember returns the identity of the member with the given address or hexadecimal id. If several incarnations have the
// address, it prefers one that is not in contact with the leader.
func findMember(s *session, host string) (id uint64, err error) {
	status, err := s.status()
	if err != nil {
		return 0, err
	}
	wanted, _ := strconv.ParseUint(host, 16, 64)
	found := false
	for _, m := range status.Members {
		if m.ID == wanted {
			return m.ID, nil
		}
		if m.Address == host && (!found || !m.Heard) {
			id, found = m.ID, true
		}
	}
	if !found {
		return 0, errors.Errorf("no member has the address or id %s", host)
	}
	return id, nil
}

// hostsReplaceCommand implements "hosts replace".
type hostsReplaceCommand struct {
	shared *options
	Args   struct {
		Old string `positional-arg-name:"OLD" required:"yes" description:"address or id of the lost host"`
		New string `positional-arg-name:"NEW" required:"yes" description:"address of the new host; may be the old one with an empty data folder"`
	} `positional-args:"yes"`
}

// Execute adds the new control host, removes the lost one and waits for full redundancy.
func (c *hostsReplaceCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	old, err := findMember(s, c.Args.Old)
	if err != nil {
		return err
	}
	if err = addHost(s, c.Args.New); err != nil {
		return err
	}
	if err = changeMembers(s, &oper.MembersRequest{Action: oper.Remove, ID: old}); err != nil {
		return err
	}
	progress("identity %x is removed", old)
	redundant := s.poll(func() bool {
		status, err := s.status()
		return err == nil && status.FullRedundancy
	})
	if redundant {
		c.shared.printf("%s replaces %s; full redundancy\n", c.Args.New, c.Args.Old)
		return nil
	}
	return &ErrNotReached{What: fmt.Sprintf("full redundancy after %s replaced %s", c.Args.New, c.Args.Old)}
}
