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

// Bounds of a publish.
const (
	publishBound = 10 * time.Second
	publishTry   = 2 * time.Second
)

// Republish publishes a service file with a comment that makes it differ from the one in force, and returns the
// version it became.
func Republish(control []string, file string) (version uint64, err error) {
	defer func() { err = errors.WithMessage(err, "publish again") }()
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishBound)
	defer cancel()
	hosts := wire.NewHosts(wire.NewClient(nil), control)
	current, err := wire.CallLeader[oper.Empty, table.Config](ctx, hosts, publishTry, oper.Current, &oper.Empty{})
	if err != nil {
		return 0, err
	}
	at := time.Now().UTC().Format(oper.PublishTime)
	r := &oper.PublishRequest{ID: at + "-again", Base: current.Version, By: "scale",
		Files: []conf.File{{Name: filepath.Base(file), Text: "# " + at + "\n" + string(text)}}}
	o, err := wire.CallLeader[oper.PublishRequest, table.PublishResult](ctx, hosts, publishTry, oper.Publish, r)
	if err != nil {
		return 0, err
	}
	if !o.Accepted {
		return 0, errors.New(o.Reason)
	}
	return o.Version, nil
}
