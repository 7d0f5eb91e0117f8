package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestExplain checks that the lines about a request are printed in order of time, from logs with and without a prefix, and that
// lines with a similar id and malformed lines are left out.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	write := func(name string, lines ...string) string {
		path := filepath.Join(folder, name)
		c.Assert(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600), qt.IsNil)
		return path
	}
	late := write("late", `  9.2 e2 {"level":"warn","ts":"2026-01-02T03:04:05.300Z","msg":"request not served","host":"e2","id":"abc","status":502,"event":3204}`, `{"cut`, "abc")
	early := write("early", `{"level":"info","ts":"2026-01-02T03:04:05.100Z","msg":"try at an upstream failed","host":"e2","id":"abc","verdict":"failed","event":3206}`,
		`{"level":"info","ts":"2026-01-02T03:04:05.100Z","msg":"try at an upstream failed","host":"e2","id":"abcd","verdict":"failed","event":3206}`)
	var out bytes.Buffer
	c.Assert(Operator([]string{"explain", "--id", "abc", late, early}, &out, &out), qt.Equals, ExitDone)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 3, qt.Commentf("%s", out.String()))
	c.Check(lines[1], qt.Contains, "verdict=failed")
	c.Check(lines[2], qt.Contains, "200ms")
	c.Check(lines[2], qt.Contains, "status=502")
	out.Reset()
	c.Assert(Operator([]string{"explain", "--id", "none", late}, &out, &out), qt.Equals, ExitNotReached)
}
