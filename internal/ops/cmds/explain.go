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

// maxLogLine is the length, in bytes, of the longest log line that explain reads; a longer line ends the command with an error.
const maxLogLine = 1 << 20

// logLine is a log line with all its fields.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// explainCommand implements "explain": it prints the log lines about a request, an upstream or a host.
type explainCommand struct {
	shared     *options
	ID         string `long:"id" required:"yes" value-name:"ID" description:"the request's id, or the name of an upstream or a host"`
	Positional struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute reads the logs and prints the matching lines, ordered by time. It returns ErrNotReached if there are none.
func (c *explainCommand) Execute([]string) (err error) {
	defer func() { err = errors.WithMessage(err, "explain") }()
	var found []logLine
	if len(c.Positional.Files) == 0 {
		found, err = matchingLines(os.Stdin, c.ID)
	}
	for _, name := range c.Positional.Files {
		lines, err := matchingLinesInFile(name, c.ID)
		if err != nil {
			return err
		}
		found = append(found, lines...)
	}
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return &ErrNotReached{What: "a log line that contains " + c.ID}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.at.Compare(b.at) })
	return c.print(found)
}

// matchingLinesInFile returns the lines of a log file in which a field has the value.
func matchingLinesInFile(name, id string) (found []logLine, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return matchingLines(f, id)
}

// matchingLines returns the log lines in which a field has the value. Text before the JSON of a line is ignored, because log
// collectors put names and times there.
func matchingLines(r io.Reader, value string) (found []logLine, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, value) {
			continue
		}
		start := strings.IndexByte(text, '{')
		l := logLine{}
		if start < 0 || json.Unmarshal([]byte(text[start:]), &l.fields) != nil || !l.hasValue(value) {
			continue
		}
		timestamp, _ := l.fields["ts"].(string)
		if l.at, err = time.Parse(time.RFC3339Nano, timestamp); err != nil {
			continue
		}
		found = append(found, l)
	}
	return found, scanner.Err()
}

// hasValue reports whether a text field of the line equals the value.
func (l logLine) hasValue(value string) bool {
	for _, v := range l.fields {
		if s, ok := v.(string); ok && s == value {
			return true
		}
	}
	return false
}

// columnFields are the fields that have a column of their own or are left out, as they are the same on each line.
var columnFields = []string{"ts", "level", "msg", "host", "event", "layer", "id"}

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

// details returns the fields that have no column, as name=value pairs sorted by name.
func (l logLine) details() string {
	var parts []string
	for name, v := range l.fields {
		if slices.Contains(columnFields, name) {
			continue
		}
		text, err := json.Marshal(v)
		if err != nil {
			continue // unreachable: the value was read from JSON
		}
		parts = append(parts, name+"="+strings.Trim(string(text), `"`))
	}
	slices.SortFunc(parts, cmp.Compare[string])
	return strings.Join(parts, " ")
}
