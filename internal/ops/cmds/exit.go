package cmds

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// Exit codes of all commands.
const (
	ExitDone        = 0
	ExitFailed      = 1 // any error without a code of its own
	ExitUsage       = 2 // wrong command, option or argument
	ExitNotAccepted = 3 // a publish was rejected
	ExitNotReached  = 4 // the expected state was not reached in time
	ExitFaults      = 5 // a settings or service file is invalid
)

// ErrNotAccepted is returned when a publish was rejected, for example because another change was accepted first.
type ErrNotAccepted struct {
	Reason string
}

// Error implements error.
func (e *ErrNotAccepted) Error() string { return "not accepted: " + e.Reason }

// ErrNotReached is returned when a command's time ran out before the state that it waits for was reached, or when explain found
// no log line.
type ErrNotReached struct {
	What string // the state
}

// Error implements error.
func (e *ErrNotReached) Error() string { return "not reached in time: " + e.What }

// reportError prints the error, if any, and returns the exit code. Help that was asked for is printed to out, not errOut.
func reportError(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitDone
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(out, usage.Message)
			return ExitDone
		}
		fmt.Fprintln(errOut, usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(errOut, err)
	return exitCode(err)
}

// exitCode maps an error to the command's exit code.
func exitCode(err error) int {
	var (
		notAccepted *ErrNotAccepted
		notReached  *ErrNotReached
		faults      *conf.ErrFaults
	)
	switch {
	case errors.As(err, &notAccepted):
		return ExitNotAccepted
	case errors.As(err, &notReached):
		return ExitNotReached
	case errors.As(err, &faults):
		return ExitFaults
	}
	return ExitFailed
}
