package cmds

import (
	"strings"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// evacuateCommand implements "evacuate start" and "evacuate end".
type evacuateCommand struct {
	shared *options
	out    bool
	Args   struct {
		DataCentre string `positional-arg-name:"DATACENTRE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute takes the data centre out of service or back. The call may be repeated, so a leader that is lost in between does no harm.
func (c *evacuateCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	r := &oper.EvacuateRequest{DataCentre: c.Args.DataCentre, Out: c.out, By: operatorName()}
	if _, err = callLeader[oper.EvacuateRequest, oper.Empty](s, oper.Evacuate, r); err != nil {
		return err
	}
	if c.out {
		c.shared.printf("%s is out of service\n", c.Args.DataCentre)
		return nil
	}
	c.shared.printf("%s is back in service\n", c.Args.DataCentre)
	return nil
}

// evacuateListCommand implements "evacuate list".
type evacuateListCommand struct {
	shared *options
}

// Execute prints the data centres that are out of service or came back lately.
func (c *evacuateListCommand) Execute([]string) (err error) {
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
		return c.shared.printJSON(status.Evacuations)
	}
	rows := [][]string{{"DATA CENTRE", "OUT OF SERVICE", "BY", "SINCE"}}
	for _, r := range status.Evacuations {
		rows = append(rows, []string{r.DataCentre, yesNo(r.Out), r.By, time.UnixMilli(r.At).UTC().Format(time.RFC3339)})
	}
	c.shared.printTable(rows...)
	return nil
}

// outOfService returns the names of the data centres out of service, or "none".
func outOfService(status *oper.StatusResponse) string {
	var names []string
	for _, r := range status.Evacuations {
		if r.Out {
			names = append(names, r.DataCentre)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
