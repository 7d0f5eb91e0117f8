// Command ebonyrill-measure runs the trials and prints their tables.
package main

import (
	"fmt"
	"os"

	"ebonyrill.dev/ebonyrill/internal/sample/trial"
)

func main() {
	what := "policies"
	if len(os.Args) > 1 {
		what = os.Args[1]
	}
	switch what {
	case "admission":
		trial.Admission(os.Stdout)
	case "placement":
		trial.Placement(os.Stdout)
	default:
		fmt.Fprintln(os.Stderr, "usage: ebonyrill-measure placement")
		os.Exit(2)
	}
}
