package cmds

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// serviceFilePattern matches the names of service files in a folder.
const serviceFilePattern = "*.ebonyrill.ini"

// publishRandomBytes is the length of the random part of a publish id, in bytes.
const publishRandomBytes = 6

// filesArgument lists service files and folders that contain some.
type filesArgument struct {
	Files []string `positional-arg-name:"FILE" required:"1" description:"service files, or folders that are searched for *.ebonyrill.ini"`
}

// collect reads all service files. It fails if there are none.
func (a filesArgument) collect() (files []conf.File, err error) {
	defer func() { err = errors.WithMessage(err, "collect service files") }()
	for _, name := range a.Files {
		names := []string{name}
		info, err := os.Stat(name)
		if err != nil {
			return nil, err
		}
		if info.IsDir() {
			if names, err = findServiceFiles(name); err != nil {
				return nil, err
			}
		}
		for _, n := range names {
			text, err := os.ReadFile(n)
			if err != nil {
				return nil, err
			}
			files = append(files, conf.File{Name: filepath.ToSlash(n), Text: string(text)})
		}
	}
	if len(files) == 0 {
		return nil, errors.New("no service files found")
	}
	return files, nil
}

// findServiceFiles returns the paths of the service files below a folder, sorted.
func findServiceFiles(folder string) (names []string, err error) {
	err = filepath.WalkDir(folder, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if matched, _ := filepath.Match(serviceFilePattern, d.Name()); matched && !d.IsDir() {
			names = append(names, path)
		}
		return nil
	})
	slices.Sort(names)
	return names, err
}

// publishCommand implements "publish".
type publishCommand struct {
	shared *options
	Base   uint64        `long:"base" description:"version that the files were made on; the one in force if not given"`
	ID     string        `long:"id" description:"publish id of an earlier attempt whose response was lost"`
	Wait   bool          `long:"wait" description:"wait until the version is in force everywhere"`
	Args   filesArgument `positional-args:"yes"`
}

// Execute proposes the service files and prints the outcome. It returns ErrNotAccepted if they were rejected.
func (c *publishCommand) Execute([]string) (err error) {
	files, err := c.Args.collect()
	if err != nil {
		return err
	}
	if _, err = conf.ParseSet(files); err != nil {
		return err
	}
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	request, err := c.request(s, files)
	if err != nil {
		return err
	}
	progress("publishing %d files with id %s on version %d", len(files), request.ID, request.Base)
	outcome, err := callLeader[oper.PublishRequest, table.PublishResult](s, oper.Publish, request)
	if err != nil {
		return errors.WithMessagef(err, "publish (run it again with --id %s --base %d to learn the outcome)", request.ID, request.Base)
	}
	return c.report(s, outcome)
}

// request returns the request to send. Unless an id or a base version was given, it is based on the version in force.
func (c *publishCommand) request(s *session, files []conf.File) (r *oper.PublishRequest, err error) {
	r = &oper.PublishRequest{ID: c.ID, Base: c.Base, By: operatorName(), Files: files}
	if r.ID == "" {
		r.ID = newPublishID()
	}
	if c.Base != 0 || c.ID != "" {
		return r, nil
	}
	current, err := callLeader[oper.Empty, table.Config](s, oper.Current, &oper.Empty{})
	if err != nil {
		return nil, err
	}
	r.Base = current.Version
	return r, nil
}

// report prints the outcome, and waits until the version is in force if asked to.
func (c *publishCommand) report(s *session, result *table.PublishResult) (err error) {
	if c.shared.JSON {
		if err = c.shared.printJSON(result); err != nil {
			return err
		}
	}
	if !result.Accepted {
		return &ErrNotAccepted{Reason: result.Reason}
	}
	if c.Wait {
		if err = awaitInForce(s, result.Version); err != nil {
			return err
		}
	}
	if !c.shared.JSON {
		c.shared.printf("accepted as version %d\n", result.Version)
	}
	return nil
}

// newPublishID returns a unique id: the time and a random part.
func newPublishID() string {
	var b [publishRandomBytes]byte
	_, _ = rand.Read(b[:])
	return time.Now().UTC().Format(oper.PublishTime) + "-" + hex.EncodeToString(b[:])
}

func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// checkCommand implements "check".
type checkCommand struct {
	shared *options
	Args   filesArgument `positional-args:"yes"`
}

// Execute prints the services if all files are valid, and otherwise returns an error that lists every fault.
func (c *checkCommand) Execute([]string) (err error) {
	files, err := c.Args.collect()
	if err != nil {
		return err
	}
	services, err := conf.ParseSet(files)
	if err != nil {
		return err
	}
	for _, v := range services {
		c.shared.printf("%s: valid; prefix %s\n", v.Name(), v.Prefix())
	}
	return nil
}

// diffCommand implements "diff".
type diffCommand struct {
	shared *options
	Args   filesArgument `positional-args:"yes"`
}

// Execute prints one line for each service that differs from the version in force.
func (c *diffCommand) Execute([]string) (err error) {
	files, err := c.Args.collect()
	if err != nil {
		return err
	}
	s, err := c.shared.open()
	if err != nil {
		return err
	}
	defer s.cancel()
	current, err := callLeader[oper.Empty, table.Config](s, oper.Current, &oper.Empty{})
	if err != nil {
		return err
	}
	changes, err := compare(current.Files, files)
	if err != nil {
		return err
	}
	if c.shared.JSON {
		return c.shared.printJSON(changes)
	}
	for _, v := range changes {
		c.shared.printf("%s %s\n", v.Kind, v.Service)
	}
	c.shared.printf("%d services differ from version %d by %s\n", len(changes), current.Version, current.By)
	return nil
}

// serviceChange is the difference of one service: "added", "changed" or "withdrawn".
type serviceChange struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
}

// compare returns the services that differ, sorted by name.
func compare(old, next []conf.File) (changes []serviceChange, err error) {
	before, err := filesByService(old)
	if err != nil {
		return nil, err
	}
	after, err := filesByService(next)
	if err != nil {
		return nil, err
	}
	for name, text := range after {
		was, known := before[name]
		switch {
		case !known:
			changes = append(changes, serviceChange{Service: name, Kind: "added"})
		case was != text:
			changes = append(changes, serviceChange{Service: name, Kind: "changed"})
		}
	}
	for name := range before {
		if _, stays := after[name]; !stays {
			changes = append(changes, serviceChange{Service: name, Kind: "withdrawn"})
		}
	}
	slices.SortFunc(changes, func(a, b serviceChange) int { return compareStrings(a.Service, b.Service) })
	return changes, nil
}

// filesByService returns the text of each service's file.
func filesByService(files []conf.File) (texts map[string]string, err error) {
	texts = map[string]string{}
	services, err := conf.ParseSet(files)
	if err != nil {
		return nil, err
	}
	for i, v := range services {
		texts[v.Name()] = files[i].Text
	}
	return texts, nil
}
