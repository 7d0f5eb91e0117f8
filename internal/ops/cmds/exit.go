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
	ExitFailed      = 1
	ExitUsage       = 2
	ExitNotAccepted = 3
	ExitNotReached  = 4
	ExitFaults      = 5
)

// ErrNotAccepted is returned when another change was accepted first.
type ErrNotAccepted struct {
	Reason string
}

// Error returns the message.
func (e *ErrNotAccepted) Error() string { return "not accepted: " + e.Reason }

// ErrNotReached is returned when a state was waited for in vain.
type ErrNotReached struct {
	What string
}

// Error returns the message.
func (e *ErrNotReached) Error() string { return "not reached in time: " + e.What }

// finish prints an error and returns the exit code.
func finish(err error, out, errOut io.Writer) int {
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
