package load

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Limits of the calls that publish a file.
const (
	publishTimeout = 10 * time.Second // all attempts together
	attemptTimeout = 2 * time.Second  // one attempt at one control host
)

// Republish publishes a service file through the control hosts given and returns the version of the new configuration.
// The file is prefixed with a comment that holds the time, so that its text differs from the one in force.
func Republish(control []string, file string) (version uint64, err error) {
	defer func() { err = errors.WithMessage(err, "republish service file") }()
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	hosts := wire.NewHosts(wire.NewClient(nil), control)
	current, err := wire.CallLeader[oper.Empty, table.Config](ctx, hosts, attemptTimeout, oper.Current, &oper.Empty{})
	if err != nil {
		return 0, err
	}
	at := time.Now().UTC().Format(oper.PublishTime)
	r := &oper.PublishRequest{ID: at + "-again", Base: current.Version, By: "scale",
		Files: []conf.File{{Name: filepath.Base(file), Text: "# " + at + "\n" + string(text)}}}
	result, err := wire.CallLeader[oper.PublishRequest, table.PublishResult](ctx, hosts, attemptTimeout, oper.Publish, r)
	if err != nil {
		return 0, err
	}
	if !result.Accepted {
		return 0, errors.New(result.Reason)
	}
	return result.Version, nil
}
