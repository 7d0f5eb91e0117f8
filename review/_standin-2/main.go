package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to its function, which returns what broke the rule, one line for each.
var cases = map[string]func(*env) (broken []string, err error){}

// env is what a case runs with.
type env struct {
	trouble bool
	record  *record
	site    *site
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, in the root of the repository")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and writes its record to record.txt in the folder.
func runCase(name, folder string) (code int) {
	run, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	s, err := newSite(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.end()
	broken, err := run(&env{trouble: os.Getenv("TROUBLE") != "0", record: r, site: s})
	if err != nil {
		r.write("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	for _, line := range broken {
		r.write("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.write("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
