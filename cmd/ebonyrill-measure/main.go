// Command ebonyrill-measure runs the trials and prints their tables.
package main

import (
	"fmt"
	"io"
	"os"

	"ebonyrill.dev/ebonyrill/internal/sample/trial"
)

func main() {
	out := io.Writer(os.Stdout)
	what := ""
	if len(os.Args) > 1 {
		what = os.Args[1]
	}
	var err error
	switch what {
	case "policies":
		trial.Placement(out)
		trial.Admission(out)
	case "placement":
		trial.Placement(out)
	case "admission":
		trial.Admission(out)
	case "capacity":
		err = trial.Capacity(out)
	case "forward":
		err = trial.Forward(out)
	default:
		err = fmt.Errorf("usage: ebonyrill-measure policies|placement|admission|capacity|forward")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
