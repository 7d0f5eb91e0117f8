// Command ebonyrilld is the daemon of an entry host and, with a data folder, of a control host.
package main

import (
	"os"

	"ebonyrill.dev/ebonyrill/internal/ops/cmds"
)

func main() {
	os.Exit(cmds.Daemon(os.Args[1:], os.Stdout, os.Stderr))
}
