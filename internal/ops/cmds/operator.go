package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// tryTimeout bounds one call of an operator's command.
const tryTimeout = 2 * time.Second

// options are shared by all operators' commands.
type options struct {
	Hosts       string        `long:"hosts" env:"EBONYRILL_HOSTS" value-name:"LIST" description:"peer addresses of daemons, separated by commas"`
	JSON        bool          `long:"json" description:"print JSON in place of a table"`
	Timeout     time.Duration `long:"timeout" default:"20s" description:"how long to try"`
	Certificate string        `long:"certificate" env:"EBONYRILL_CERTIFICATE" value-name:"FILE" description:"certificate for mutual TLS"`
	Key         string        `long:"key" env:"EBONYRILL_KEY" value-name:"FILE" description:"private key for mutual TLS"`
	Authority   string        `long:"ca" env:"EBONYRILL_CA" value-name:"FILE" description:"certificate authority for mutual TLS"`
	out         io.Writer
}

// session is one command's tie to the system.
type session struct {
	options *options
	hosts   *wire.Hosts
	ctx     context.Context
	cancel  context.CancelFunc
}

func (o *options) open() (s *session, err error) {
	if o.Hosts == "" {
		return nil, &flags.Error{Type: flags.ErrRequired, Message: "--hosts or EBONYRILL_HOSTS must name at least one daemon"}
	}
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	return &session{options: o, hosts: wire.NewHosts(client, splitList(o.Hosts)), ctx: ctx, cancel: cancel}, nil
}

func (o *options) client() (c *wire.Client, err error) {
	if o.Certificate == "" {
		return wire.NewClient(nil), nil
	}
	security, err := wire.NewSecurity(o.Certificate, o.Key, o.Authority, nil)
	if err != nil {
		return nil, err
	}
	return wire.NewClient(security), nil
}

func splitList(s string) (list []string) {
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// ask performs a procedure at the leader.
func ask[Req, Res any](s *session, procedure string, request *Req) (*Res, error) {
	return wire.CallLeader[Req, Res](s.ctx, s.hosts, tryTimeout, procedure, request)
}

func (s *session) status() (*oper.StatusResponse, error) {
	return ask[oper.Empty, oper.StatusResponse](s, oper.Status, &oper.Empty{})
}

// statusPause is the pause between two looks at the system, short for one who waits at a terminal.
const statusPause = 200 * time.Millisecond

// pause waits for a moment, or until the command's time is over.
func (s *session) pause() {
	select {
	case <-s.ctx.Done():
	case <-time.After(statusPause):
	}
}

// until looks again and again until it is done, and reports whether it was before the command's time was over.
func (s *session) until(done func() bool) bool {
	for s.ctx.Err() == nil {
		if done() {
			return true
		}
		s.pause()
	}
	return false
}

// printf writes to the command's output.
func (o *options) printf(format string, values ...any) { fmt.Fprintf(o.out, format, values...) }

// progress writes a line that is not part of the result.
func progress(format string, values ...any) { fmt.Fprintf(os.Stderr, format+"\n", values...) }

func (o *options) printJSON(v any) error {
	e := json.NewEncoder(o.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable writes rows in columns.
func (o *options) printTable(rows ...[]string) {
	w := tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// operatorParser returns the operators' command line.
func operatorParser(out io.Writer) *flags.Parser {
	o := &options{out: out}
	p := flags.NewNamedParser("ebonyrill", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "operators' command line"
	p.LongDescription = "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 not accepted, 4 not reached in time, 5 faults in a file."
	if _, err := p.AddGroup("Common options", "", o); err != nil {
		panic(err)
	}
	add(p, "publish", "Publish service files", "Collects the service files, checks them and proposes the whole set in place of the version that was read. Exits with 3 if another change was accepted first.", &publishCommand{shared: o})
	add(p, "check", "Check service files", "Checks service files without a running system and prints every fault.", &checkCommand{shared: o})
	add(p, "diff", "Compare service files with those in force", "Prints which services would be added, changed or withdrawn.", &diffCommand{shared: o})
	add(p, "status", "Show the state of the system", "Shows control hosts, entry hosts and whether the configuration is in force everywhere; --wait waits until it is.", &statusCommand{shared: o})
	add(p, "items", "List configuration items", "Lists the configuration items in force with their versions.", &itemsCommand{shared: o})
	add(p, "explain", "Tell a request's story from logs", "Reads the daemons' logs, from FILEs or standard input, and prints the lines that name the id in order of time.", &explainCommand{shared: o})
	add(p, "owners", "Show who owns a key", "Shows the upstream that owns a key, its fence and the entry host that queues for it.", &ownersCommand{shared: o})
	add(p, "upstreams", "List upstreams", "Lists upstreams with their slices, share of the key space and requests a second.", &upstreamsCommand{shared: o})
	add(p, "drain", "Drain an upstream", "Moves all keys away from an upstream and waits until it owns none.", &drainCommand{shared: o, on: true})
	add(p, "undrain", "End the drain of an upstream", "Lets an upstream own keys again.", &drainCommand{shared: o})
	hosts := add(p, "hosts", "Manage control hosts", "Starts the control group and changes its members.", &struct{}{})
	add(hosts, "init", "Start the control group", "Starts a control group of the hosts named by --hosts; refused on hosts that belong to one.", &hostsInitCommand{shared: o})
	add(hosts, "add", "Add a control host", "Adds the control host at ADDRESS, waits until it holds every committed entry and gives it a vote.", &hostsAddCommand{shared: o})
	add(hosts, "remove", "Remove a control host", "Removes a control host by address or id.", &hostsRemoveCommand{shared: o})
	add(hosts, "replace", "Replace a lost control host", "Adds NEW as hosts add does, then removes OLD, and waits for full redundancy.", &hostsReplaceCommand{shared: o})
	report := add(p, "report", "Print reports", "Prints reports.", &struct{}{})
	add(report, "burn", "Report on service-level burn", "Prints per service how fast the error budget burns in several windows and what used it up; --html writes one self-contained page.", &burnCommand{shared: o})
	return p
}

// Operator runs the operators' command line and returns the exit code.
func Operator(args []string, out, errOut io.Writer) int {
	_, err := operatorParser(out).ParseArgs(args)
	return finish(err, out, errOut)
}
