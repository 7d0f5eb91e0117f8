package cmds

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"ebonyrill.dev/ebonyrill/internal/ops/daemon"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// settingsOption is the option that all commands of the daemon have.
type settingsOption struct {
	Settings string `long:"settings" required:"yes" env:"EBONYRILL_SETTINGS" value-name:"FILE" description:"the host's settings file"`
}

// runCommand implements "run".
type runCommand struct {
	settingsOption
	platform daemon.Platform
}

// Execute runs the daemon until a signal stops it.
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

// checkSettingsCommand implements "check".
type checkSettingsCommand struct {
	settingsOption
	out io.Writer
}

// Execute prints the host's name and role if the settings are valid, and otherwise returns an error that lists every fault.
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

// daemonParser returns the parser of the daemon's command line. The platform may be nil.
func daemonParser(out io.Writer, platform daemon.Platform) *flags.Parser {
	p := flags.NewNamedParser("ebonyrilld", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "daemon of an entry or control host"
	addCommand(p, "run", "Run the daemon", "Runs the daemon until SIGTERM or SIGINT, which stop it gracefully; a second signal stops it immediately.", &runCommand{platform: platform})
	addCommand(p, "check", "Check a settings file", "Reads the settings and prints every fault with file, line, key, what was found and what is allowed.", &checkSettingsCommand{out: out})
	return p
}

// Daemon runs the daemon's command line and returns the exit code. The platform may be nil; see [daemon.New].
func Daemon(args []string, out, errOut io.Writer, platform daemon.Platform) int {
	_, err := daemonParser(out, platform).ParseArgs(args)
	return reportError(err, out, errOut)
}

// commandAdder is a parser or command to which subcommands can be added.
type commandAdder interface {
	AddCommand(command, short, long string, data interface{}) (*flags.Command, error)
}

// addCommand adds a subcommand. It panics if the command's options are declared wrongly.
func addCommand(to commandAdder, name, short, long string, data any) *flags.Command {
	c, err := to.AddCommand(name, short, long, data)
	if err != nil {
		panic(err)
	}
	return c
}
