// Command ebonyrilld is the daemon of entry hosts and control hosts. A host is a control host if its settings have a data folder.
package main

import (
	"os"

	"ebonyrill.dev/ebonyrill/internal/ops/cmds"
	"ebonyrill.dev/ebonyrill/platform"
)

func main() {
	os.Exit(cmds.Daemon(os.Args[1:], os.Stdout, os.Stderr, platform.Adapter{}))
}
