package cmds

import (
	"fmt"
	"strconv"
	"strings"

	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// itemsCommand implements "items".
type itemsCommand struct {
	shared *options
}

// Execute prints the configuration items in force.
func (c *itemsCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	resp, err := callLeader[oper.Empty, oper.ItemsResponse](s, oper.Items, &oper.Empty{})
	if err != nil {
		return err
	}
	if c.shared.JSON {
		return c.shared.printJSON(resp.Items)
	}
	rows := [][]string{{"KIND", "NAME", "VERSION", "WHAT"}}
	for _, i := range resp.Items {
		rows = append(rows, []string{string(i.Kind), i.Name, strconv.FormatUint(i.Version, 10), describeItem(i)})
	}
	c.shared.printTable(rows...)
	return nil
}

// describeItem returns a one-line summary of an item.
func describeItem(i items.Item) string {
	switch {
	case i.Route != nil:
		var to []string
		for _, t := range i.Route.Targets {
			to = append(to, fmt.Sprintf("%s:%g", t.Service, t.Weight))
		}
		return fmt.Sprintf("%s%s -> %s, idempotent %v, timeout %v", i.Route.Host, i.Route.Prefix, strings.Join(to, " "), i.Route.Idempotent, i.Route.Timeout)
	case i.Service != nil:
		return fmt.Sprintf("keyed %v, connections %d", i.Service.Keyed, i.Service.MaxConnections)
	case i.Limits != nil:
		return fmt.Sprintf("header %d, body %d, idle %v", i.Limits.MaxHeaderBytes, i.Limits.MaxBodyBytes, i.Limits.IdleTimeout)
	}
	return ""
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
