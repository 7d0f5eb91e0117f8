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

// callTimeout limits one call to a control host.
const callTimeout = 2 * time.Second

// options are the options that all operators' commands have.
type options struct {
	Hosts       string        `long:"hosts" env:"EBONYRILL_HOSTS" value-name:"LIST" description:"peer addresses of daemons, separated by commas"`
	JSON        bool          `long:"json" description:"print JSON in place of a table"`
	Timeout     time.Duration `long:"timeout" default:"20s" description:"how long to try"`
	Certificate string        `long:"certificate" env:"EBONYRILL_CERTIFICATE" value-name:"FILE" description:"certificate for mutual TLS"`
	Key         string        `long:"key" env:"EBONYRILL_KEY" value-name:"FILE" description:"private key for mutual TLS"`
	Authority   string        `long:"ca" env:"EBONYRILL_CA" value-name:"FILE" description:"certificate authority for mutual TLS"`
	out         io.Writer
}

// session is a command's connection to the control hosts; ctx ends when the command's time is over.
type session struct {
	options *options
	hosts   *wire.Hosts
	ctx     context.Context
	cancel  context.CancelFunc
}

// open starts a session. The caller must call its cancel function.
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

// client returns a client that uses mutual TLS if a certificate was given.
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

// splitList splits a list at commas and drops empty parts.
func splitList(s string) (list []string) {
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// callLeader calls a procedure on the leader of the control group.
func callLeader[Req, Res any](s *session, procedure string, request *Req) (*Res, error) {
	return wire.CallLeader[Req, Res](s.ctx, s.hosts, callTimeout, procedure, request)
}

func (s *session) status() (*oper.StatusResponse, error) {
	return callLeader[oper.Empty, oper.StatusResponse](s, oper.Status, &oper.Empty{})
}

// pollInterval is the pause between two attempts or status requests; it is short because an operator waits at a terminal.
const pollInterval = 200 * time.Millisecond

// pause waits for pollInterval, or until the command's time is over.
func (s *session) pause() {
	select {
	case <-s.ctx.Done():
	case <-time.After(pollInterval):
	}
}

// poll calls condition repeatedly, with pauses, and reports whether it returned true before the command's time was over.
func (s *session) poll(condition func() bool) bool {
	for s.ctx.Err() == nil {
		if condition() {
			return true
		}
		s.pause()
	}
	return false
}

// printf prints to the command's output.
func (o *options) printf(format string, values ...any) { fmt.Fprintf(o.out, format, values...) }

// progress prints a line to standard error, apart from the command's result.
func progress(format string, values ...any) { fmt.Fprintf(os.Stderr, format+"\n", values...) }

func (o *options) printJSON(v any) error {
	e := json.NewEncoder(o.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable prints rows in aligned columns.
func (o *options) printTable(rows ...[]string) {
	w := tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// operatorParser returns the parser of the operators' command line.
func operatorParser(out io.Writer) *flags.Parser {
	o := &options{out: out}
	p := flags.NewNamedParser("ebonyrill", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "operators' command line"
	p.LongDescription = "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 not accepted, 4 not reached in time, 5 faults in a file."
	if _, err := p.AddGroup("Common options", "", o); err != nil {
		panic(err)
	}
	addCommand(p, "publish", "Publish service files", "Reads and checks the service files and proposes them as a complete set that replaces the version read before. Exits with 3 if another change was accepted first.", &publishCommand{shared: o})
	addCommand(p, "check", "Check service files", "Checks service files without a running system and prints every fault.", &checkCommand{shared: o})
	addCommand(p, "diff", "Compare service files with those in force", "Prints which services would be added, changed or withdrawn.", &diffCommand{shared: o})
	addCommand(p, "status", "Show the state of the system", "Shows control hosts, entry hosts and whether the configuration is in force everywhere; --wait waits until it is.", &statusCommand{shared: o})
	addCommand(p, "items", "List configuration items", "Lists the configuration items in force with their versions.", &itemsCommand{shared: o})
	addCommand(p, "explain", "Print a request's log lines", "Reads the daemons' logs, from FILEs or standard input, and prints the lines that contain the id in order of time.", &explainCommand{shared: o})
	addCommand(p, "owners", "Show who owns a key", "Shows the upstream that owns a key, its fence and the entry host that queues for it.", &ownersCommand{shared: o})
	addCommand(p, "upstreams", "List upstreams", "Lists upstreams with their slices, share of the key space and requests a second.", &upstreamsCommand{shared: o})
	addCommand(p, "drain", "Drain an upstream", "Moves all keys away from an upstream and waits until it owns none.", &drainCommand{shared: o, on: true})
	addCommand(p, "undrain", "End the drain of an upstream", "Lets an upstream own keys again.", &drainCommand{shared: o})
	evacuate := addCommand(p, "evacuate", "Take data centres out of service", "Takes data centres out of service, so that nothing new is sent to the upstreams there, and back.", &struct{}{})
	addCommand(evacuate, "start", "Take a data centre out of service", "Nothing new is sent to the upstreams there; their keys move to other data centres.", &evacuateCommand{shared: o, out: true})
	addCommand(evacuate, "end", "Take a data centre back into service", "Lets the upstreams there get requests and keys again.", &evacuateCommand{shared: o})
	addCommand(evacuate, "list", "List evacuations", "Lists the data centres that are out of service or came back lately.", &evacuateListCommand{shared: o})
	hosts := addCommand(p, "hosts", "Manage control hosts", "Starts the control group and changes its members.", &struct{}{})
	addCommand(hosts, "init", "Start the control group", "Starts a control group of the hosts named by --hosts; hosts that already belong to a group reject it.", &hostsInitCommand{shared: o})
	addCommand(hosts, "add", "Add a control host", "Adds the control host at ADDRESS, waits until it has every committed entry and makes it a voter.", &hostsAddCommand{shared: o})
	addCommand(hosts, "remove", "Remove a control host", "Removes a control host by address or id.", &hostsRemoveCommand{shared: o})
	addCommand(hosts, "replace", "Replace a lost control host", "Adds NEW as hosts add does, then removes OLD, and waits for full redundancy.", &hostsReplaceCommand{shared: o})
	report := addCommand(p, "report", "Print reports", "Prints reports.", &struct{}{})
	addCommand(report, "burn", "Report on service-level burn", "Prints for each service how fast the error budget burns in several time windows and what used it up; --html writes one self-contained page.", &burnCommand{shared: o})
	return p
}

// Operator runs the operators' command line and returns the exit code.
func Operator(args []string, out, errOut io.Writer) int {
	_, err := operatorParser(out).ParseArgs(args)
	return reportError(err, out, errOut)
}
