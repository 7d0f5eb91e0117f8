// Command ebonyrill-sample is an upstream for the demonstration and for tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"ebonyrill.dev/ebonyrill/internal/sample/owner"
)

func main() {
	var o struct {
		Name       string        `long:"name" required:"yes" description:"the upstream's name"`
		Service    string        `long:"service" required:"yes" description:"the service it serves"`
		Address    string        `long:"address" required:"yes" description:"address to listen on"`
		DataCentre string        `long:"data-centre" required:"yes" description:"the data centre it stands in"`
		Entries    string        `long:"entries" required:"yes" description:"admin addresses of entry hosts, separated by commas"`
		Unchecked  bool          `long:"unchecked" description:"do not check fences"`
		Slots      int           `long:"slots" default:"3" description:"requests served at a time"`
		Work       time.Duration `long:"work" default:"2ms" description:"time to serve a request"`
		Journal    string        `long:"journal" description:"file that notes each request"`
	}
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	u, err := owner.New(owner.Options{Name: o.Name, Service: o.Service, Address: o.Address, DataCentre: o.DataCentre,
		Entries: strings.Split(o.Entries, ","), ChecksFence: !o.Unchecked, Slots: o.Slots, Work: o.Work, Journal: o.Journal})
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		err = u.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
