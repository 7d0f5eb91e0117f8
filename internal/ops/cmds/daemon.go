package cmds

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"ebonyrill.dev/ebonyrill/internal/ops/daemon"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// settingsOption is shared by the daemon's commands.
type settingsOption struct {
	Settings string `long:"settings" required:"yes" env:"EBONYRILL_SETTINGS" value-name:"FILE" description:"the host's settings file"`
}

// runCommand runs the daemon.
type runCommand struct {
	settingsOption
	platform daemon.Platform
}

// Execute runs the daemon until a signal ends it.
func (c *runCommand) Execute([]string) (err error) {
	settings, err := conf.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	d, err := daemon.New(settings, c.Settings, c.platform)
	if err != nil {
		return err
	}
	return d.Run()
}

// checkSettingsCommand checks a settings file.
type checkSettingsCommand struct {
	settingsOption
	out io.Writer
}

// Execute prints every fault, or that there is none.
func (c *checkSettingsCommand) Execute([]string) (err error) {
	settings, err := conf.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	role := "entry"
	switch {
	case settings.DataFolder() != "" && settings.Entry():
		role = "entry and control"
	case settings.DataFolder() != "":
		role = "control"
	}
	fmt.Fprintf(c.out, "%s: settings of host %s are valid; role: %s\n", c.Settings, settings.Name(), role)
	return nil
}

// daemonParser returns the daemon's command line.
func daemonParser(out io.Writer, platform daemon.Platform) *flags.Parser {
	p := flags.NewNamedParser("ebonyrilld", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "daemon of an entry or control host"
	add(p, "run", "Run the daemon", "Runs the daemon until SIGTERM or SIGINT, which stop it in order; a second signal stops it at once.", &runCommand{platform: platform})
	add(p, "check", "Check a settings file", "Reads the settings and prints every fault with file, line, key, what was found and what is allowed.", &checkSettingsCommand{out: out})
	return p
}

// Daemon runs the daemon's command line with the adapter of a platform, which may be nil, and returns the exit code.
func Daemon(args []string, out, errOut io.Writer, platform daemon.Platform) int {
	_, err := daemonParser(out, platform).ParseArgs(args)
	return finish(err, out, errOut)
}

// adder is a parser or a command that takes commands.
type adder interface {
	AddCommand(command, short, long string, data interface{}) (*flags.Command, error)
}

func add(to adder, name, short, long string, data any) *flags.Command {
	c, err := to.AddCommand(name, short, long, data)
	if err != nil {
		panic(err)
	}
	return c
}
