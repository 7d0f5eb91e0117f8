package cmds

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jessevdk/go-flags"
)

// helpPages returns the help texts of a program and of each of its commands, formatted as in docs/COMMANDS.md.
func helpPages(name string, p *flags.Parser, run func([]string, io.Writer, io.Writer) int) string {
	var b strings.Builder
	page := func(args ...string) {
		var out bytes.Buffer
		run(append(args, "--help"), &out, &out)
		fmt.Fprintf(&b, "\n## %s\n\n```text\n%s\n```\n", strings.Join(append([]string{name}, args...), " "), strings.TrimRight(out.String(), "\n"))
	}
	page()
	for _, c := range p.Commands() {
		page(c.Name)
		for _, sub := range c.Commands() {
			page(c.Name, sub.Name)
		}
	}
	return b.String()
}

// TestCommandPagesMatchHelp checks that docs/COMMANDS.md matches the programs' help texts. If EBONYRILL_WRITE_DOCS is set, it
// writes the page first.
func TestCommandPagesMatchHelp(t *testing.T) {
	c := qt.New(t)
	want := "# Commands\n\nGenerated from the programs' help texts; a test checks that they match.\n" +
		helpPages("ebonyrill", operatorParser(io.Discard), Operator) + helpPages("ebonyrilld", daemonParser(io.Discard, nil), daemonWithoutPlatform)
	const file = "../../../docs/COMMANDS.md"
	if os.Getenv("EBONYRILL_WRITE_DOCS") != "" {
		c.Assert(os.WriteFile(file, []byte(want), 0o644), qt.IsNil)
	}
	got, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, want)
}

// TestCommandsOnPagesExist checks that every command shown in the docs exists.
func TestCommandsOnPagesExist(t *testing.T) {
	c := qt.New(t)
	pages, err := filepath.Glob("../../../docs/*.md")
	c.Assert(err, qt.IsNil)
	pages = append(pages, "../../../README.md")
	line := regexp.MustCompile(`(?m)^(?: {4,}|\$ )(ebonyrilld?) ([a-z][a-z -]*)`)
	checked := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		c.Assert(err, qt.IsNil)
		for _, m := range line.FindAllStringSubmatch(string(text), -1) {
			words := strings.Fields(m[2])
			p := operatorParser(io.Discard)
			if m[1] == "ebonyrilld" {
				p = daemonParser(io.Discard, nil)
			}
			command := p.Find(words[0])
			c.Check(command, qt.IsNotNil, qt.Commentf("%s: %s", page, m[0]))
			checked++
			if command != nil && len(command.Commands()) > 0 && len(words) > 1 {
				c.Check(command.Find(words[1]), qt.IsNotNil, qt.Commentf("%s: %s", page, m[0]))
			}
		}
	}
	c.Assert(checked > 10, qt.IsTrue)
}

func TestExitCodes(t *testing.T) {
	folder := t.TempDir()
	good, bad := filepath.Join(folder, "good.ebonyrill.ini"), filepath.Join(folder, "bad.ini")
	qt.Assert(t, os.WriteFile(good, []byte("[service]\nname = s\nprefix = /s\nkey = path:2\n"), 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(bad, []byte("[service]\nname = s s\n"), 0o600), qt.IsNil)
	cases := []struct {
		args   []string
		code   int
		output string // part of the output
	}{
		{[]string{"check", folder}, ExitDone, "s: valid"},
		{[]string{"check", bad}, ExitFaults, bad + ":2: service.name"},
		{[]string{"check", filepath.Join(folder, "none")}, ExitFailed, "no such file"},
		{[]string{"status"}, ExitUsage, "--hosts"},
		{[]string{"nonsense"}, ExitUsage, "nonsense"},
		{[]string{"--hosts", "127.0.0.1:1", "--timeout", "100ms", "status"}, ExitFailed, "no control leader answered"},
	}
	for _, v := range cases {
		t.Run(strings.Join(v.args[:1], " "), func(t *testing.T) {
			var out bytes.Buffer
			qt.Assert(t, Operator(v.args, &out, &out), qt.Equals, v.code, qt.Commentf("%s", out.String()))
			qt.Assert(t, out.String(), qt.Contains, v.output)
		})
	}
}

// daemonWithoutPlatform runs the daemon's command line with a nil platform.
func daemonWithoutPlatform(args []string, out, errOut io.Writer) int {
	return Daemon(args, out, errOut, nil)
}
