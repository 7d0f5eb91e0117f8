package cmds

import (
	"fmt"
	"os"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/burn"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// burnCommand implements "report burn": it reports how fast the services use up their error budgets.
type burnCommand struct {
	shared *options
	HTML   string `long:"html" value-name:"FILE" description:"write one self-contained page"`
}

// Execute fetches the request counts of all entry hosts and prints the report. Entry hosts that do not respond are listed as
// missing.
func (c *burnCommand) Execute([]string) (err error) {
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	status, err := s.status()
	if err != nil {
		return err
	}
	var responses []oper.BurnResponse
	var missing []string
	for _, e := range status.Entries {
		resp, err := wire.Call[oper.Empty, oper.BurnResponse](s.ctx, s.hosts.Client(), e.Address, oper.Burn, &oper.Empty{})
		if err != nil {
			missing = append(missing, e.Name)
			continue
		}
		responses = append(responses, *resp)
	}
	report := burn.NewReport(time.Now(), responses, missing)
	if c.HTML != "" {
		page, err := report.HTML()
		if err != nil {
			return err
		}
		if err = os.WriteFile(c.HTML, page, 0o644); err != nil {
			return err
		}
		c.shared.printf("wrote %s\n", c.HTML)
		return nil
	}
	if c.shared.JSON {
		return c.shared.printJSON(report.View())
	}
	c.shared.printTable(burnRows(report)...)
	for _, name := range missing {
		c.shared.printf("not counted, no answer: %s\n", name)
	}
	return nil
}

// burnRows returns the report as table rows, the header first.
func burnRows(r *burn.Report) [][]string {
	rows := [][]string{{"SERVICE", "WINDOW", "REQUESTS", "GOOD", "OBJECTIVE", "BURN RATE", "BUDGET LEFT", "UNAVAILABLE", "SLOW", "SHED", "MOVED", "ALERT"}}
	for _, l := range r.View().Lines {
		rows = append(rows, []string{l.Service, l.Window, fmt.Sprint(l.Requests), fmt.Sprintf("%.3f%%", l.GoodPercent),
			fmt.Sprintf("%.3f%%", l.ObjectivePercent), fmt.Sprintf("%.2f", l.BurnRate), fmt.Sprintf("%.1f%%", l.BudgetLeftPercent),
			fmt.Sprint(l.Unavailable), fmt.Sprint(l.Slow), fmt.Sprint(l.Shed), fmt.Sprint(l.Moved), l.Alert})
	}
	return rows
}
