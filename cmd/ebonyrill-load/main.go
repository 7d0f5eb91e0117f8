// Command ebonyrill-load is the load generator of the demonstration and of scale measurements. It finds free ports, sends load and
// checks that no guarantee was violated.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/sample/load"
)

// portsCommand implements "ports".
type portsCommand struct {
	Count int `long:"count" default:"40" description:"ports in a row"`
}

// Execute prints the first port of a range of free ports on the loopback interface.
func (c *portsCommand) Execute([]string) (err error) {
	base, err := load.FreePorts(0, c.Count)
	if err != nil {
		return err
	}
	fmt.Println(base)
	return nil
}

// runCommand implements "run".
type runCommand struct {
	Entries  string        `long:"entries" required:"yes" description:"CALLERS/ADMIN addresses, separated by commas"`
	Rate     int           `long:"rate" default:"400" description:"requests a second"`
	Duration time.Duration `long:"duration" default:"15s" description:"how long"`
	Out      string        `long:"out" required:"yes" description:"file for what callers saw"`
}

// Execute sends load and writes what callers saw to a file, as JSON.
func (c *runCommand) Execute([]string) (err error) {
	o := load.Options{Keys: 300, Rate: c.Rate, Duration: c.Duration, WriteShare: 0.25, Seed: 7,
		Services: []load.Service{{Prefix: "/frames", Write: "closure"}, {Prefix: "/lists", Write: "reorder"}}}
	for _, e := range strings.Split(c.Entries, ",") {
		callers, admin, _ := strings.Cut(e, "/")
		o.Entries = append(o.Entries, load.Entry{Callers: callers, Admin: admin})
	}
	data, err := json.Marshal(load.Run(o))
	if err != nil {
		return err
	}
	return os.WriteFile(c.Out, data, 0o644)
}

// verifyCommand implements "verify".
type verifyCommand struct {
	Result   string `long:"result" required:"yes" description:"file that run wrote"`
	Journals string `long:"journals" required:"yes" description:"pattern of the journals"`
	Status   string `long:"status" description:"file with the leader's status as JSON"`
}

// Execute compares what callers saw with the upstreams' journals, prints a table and returns an error if a guarantee was violated.
func (c *verifyCommand) Execute([]string) (err error) {
	var result load.Result
	if err = readJSON(c.Result, &result); err != nil {
		return err
	}
	var status struct {
		MovedShare float64 `json:"movedShare"`
	}
	if c.Status != "" {
		if err = readJSON(c.Status, &status); err != nil {
			return err
		}
	}
	names, err := filepath.Glob(c.Journals)
	if err != nil {
		return err
	}
	executions, err := load.ReadJournals(names)
	if err != nil {
		return err
	}
	v := load.Verify(result, executions)
	v.Print(os.Stdout, status.MovedShare)
	if v.Violated() {
		return errors.New("a guarantee was violated")
	}
	return nil
}

// scaleCommand implements "scale": it measures control hosts under the load of many entry hosts and upstreams.
type scaleCommand struct {
	Control   string        `long:"control" required:"yes" description:"peer addresses of control hosts, separated by commas"`
	Leader    string        `long:"leader" required:"yes" description:"peer address of the leader"`
	Admins    string        `long:"admins" required:"yes" description:"admin addresses of control hosts, separated by commas"`
	Entries   int           `long:"entries" default:"100" description:"entry hosts"`
	Upstreams int           `long:"upstreams" default:"300" description:"upstreams"`
	Duration  time.Duration `long:"duration" default:"10s" description:"how long"`
	Service   string        `long:"service" default:"scale" description:"service of the upstreams"`
	File      string        `long:"file" required:"yes" description:"service file, published again at the end with a comment added"`
}

// Execute runs the load and prints what the control hosts used.
func (c *scaleCommand) Execute([]string) (err error) {
	o := load.ScaleOptions{Control: strings.Split(c.Control, ","), Admins: strings.Split(c.Admins, ","), Entries: c.Entries,
		Upstreams: c.Upstreams, Duration: c.Duration, Service: c.Service}
	r, err := load.RunScale(o, func() (uint64, error) { return load.Republish(o.Control, c.File) })
	if err != nil {
		return err
	}
	r.Print(os.Stdout, o, slices.Index(o.Control, c.Leader))
	return nil
}

// readJSON decodes a JSON file.
func readJSON(name string, into any) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

func main() {
	p := flags.NewNamedParser("ebonyrill-load", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name string
		data any
	}{{"ports", &portsCommand{}}, {"run", &runCommand{}}, {"verify", &verifyCommand{}}, {"scale", &scaleCommand{}}} {
		if _, err := p.AddCommand(c.name, c.name, "", c.data); err != nil {
			panic(err)
		}
	}
	if _, err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
