// Command ebonyrill-measure runs the benchmarks and simulations of package bench and prints their result tables.
package main

import (
	"fmt"
	"io"
	"os"

	"ebonyrill.dev/ebonyrill/internal/sample/bench"
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
		bench.Placement(out)
		bench.Admission(out)
	case "placement":
		bench.Placement(out)
	case "admission":
		bench.Admission(out)
	case "capacity":
		err = bench.Capacity(out)
	case "forward":
		err = bench.Forward(out)
	default:
		err = fmt.Errorf("usage: ebonyrill-measure policies|placement|admission|capacity|forward")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
