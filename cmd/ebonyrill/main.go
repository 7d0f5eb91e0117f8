// Command ebonyrill is the command-line tool for operators.
package main

import (
	"os"

	"ebonyrill.dev/ebonyrill/internal/ops/cmds"
)

func main() {
	os.Exit(cmds.Operator(os.Args[1:], os.Stdout, os.Stderr))
}
