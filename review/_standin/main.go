// Command standin plays one case of the review: it starts the project's daemons on loopback addresses, with stand-ins for workers,
// consumers and the operator, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// result is the outcome of a case.
type result struct {
	broken bool
	text   string
}

var cases = map[string]func(trouble bool) (result, error){
	"failed503": failed503,
	"encoded":   encoded,
	"late":      lateReport,
	"scalein":   scaleIn,
}

// limit is the longest time that a case may take.
const limit = 110 * time.Second

var current *system

func main() {
	name := flag.String("case", "", "the case to play")
	file := flag.String("record", "record.txt", "the file with what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Println("unknown case", *name)
		os.Exit(2)
	}
	if err := log.open(*file); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		finish(2, "stopped before the end")
	}()
	r, err := play(os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		finish(2, "the case could not run: "+err.Error())
	case r.broken:
		finish(1, "BROKEN: "+r.text)
	}
	finish(0, "held: "+r.text)
}

func finish(code int, text string) {
	log.write("%s", text)
	fmt.Println(text)
	if current != nil {
		current.endAll()
	}
	os.Exit(code)
}
