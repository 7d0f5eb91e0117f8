// Command ebonyrilld is the daemon of an entry host and, with a data folder, of a control host.
package main

import (
	"os"

	"ebonyrill.dev/ebonyrill/internal/ops/cmds"
	"ebonyrill.dev/ebonyrill/platform"
)

func main() {
	os.Exit(cmds.Daemon(os.Args[1:], os.Stdout, os.Stderr, platform.Adapter{}))
}
