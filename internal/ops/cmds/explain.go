package cmds

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLogLine is the longest line that is read from a log, in bytes; a longer one is no event.
const maxLogLine = 1 << 20

// logLine is one event of a log, with all its fields.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// explainCommand prints a request's story.
type explainCommand struct {
	shared     *options
	ID         string `long:"id" required:"yes" value-name:"ID" description:"the request's id, or the name of an upstream or a host"`
	Positional struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute reads the logs and prints what they tell, in order of time.
func (c *explainCommand) Execute([]string) (err error) {
	defer func() { err = errors.WithMessage(err, "explain") }()
	var found []logLine
	if len(c.Positional.Files) == 0 {
		found, err = linesNaming(os.Stdin, c.ID)
	}
	for _, name := range c.Positional.Files {
		lines, err := linesOfFile(name, c.ID)
		if err != nil {
			return err
		}
		found = append(found, lines...)
	}
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return &ErrNotReached{What: "a line that names " + c.ID}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.at.Compare(b.at) })
	return c.print(found)
}

func linesOfFile(name, id string) (found []logLine, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return linesNaming(f, id)
}

// linesNaming returns the events of a log in which a field has the value. What stands before a line's JSON is passed over, as
// collectors put names and times there.
func linesNaming(r io.Reader, value string) (found []logLine, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, value) {
			continue
		}
		start := strings.IndexByte(text, '{')
		l := logLine{}
		if start < 0 || json.Unmarshal([]byte(text[start:]), &l.fields) != nil || !l.names(value) {
			continue
		}
		at, _ := l.fields["ts"].(string)
		if l.at, err = time.Parse(time.RFC3339Nano, at); err != nil {
			continue
		}
		found = append(found, l)
	}
	return found, scanner.Err()
}

func (l logLine) names(value string) bool {
	for _, v := range l.fields {
		if s, ok := v.(string); ok && s == value {
			return true
		}
	}
	return false
}

// explained are the fields that stand in columns of their own, or are the same on each line.
var explained = []string{"ts", "level", "msg", "host", "event", "layer", "id"}

func (c *explainCommand) print(found []logLine) error {
	if c.shared.JSON {
		list := make([]map[string]any, len(found))
		for i, l := range found {
			list[i] = l.fields
		}
		return c.shared.printJSON(list)
	}
	rows := [][]string{{"AFTER", "HOST", "EVENT", "WHAT", "FIELDS"}}
	for _, l := range found {
		event, _ := l.fields["event"].(float64)
		host, _ := l.fields["host"].(string)
		what, _ := l.fields["msg"].(string)
		rows = append(rows, []string{l.at.Sub(found[0].at).Round(time.Microsecond).String(), host, itoa(int64(event)), what, l.details()})
	}
	c.shared.printTable(rows...)
	return nil
}

// details returns the remaining fields in order of name.
func (l logLine) details() string {
	var parts []string
	for name, v := range l.fields {
		if slices.Contains(explained, name) {
			continue
		}
		text, err := json.Marshal(v)
		if err != nil {
			continue // a value that was read from JSON can be written as JSON
		}
		parts = append(parts, name+"="+strings.Trim(string(text), `"`))
	}
	slices.SortFunc(parts, cmp.Compare[string])
	return strings.Join(parts, " ")
}
