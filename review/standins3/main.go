// Command standins3 plays the scripted cases of the third review: it starts the
// project's programs as separate processes, plays clients, servers, routers and the
// operator of the users' platform, and judges what those see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// maxRun bounds a whole run; the issue allows 120 seconds.
const maxRun = 115 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the scripted cases by number. trouble is false if the case runs without its
// disruption.
var cases = map[string]func(r *run, trouble bool) (verdict, error){
	"11": rollingReplacement,
	"12": coldAfterRestart,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE PROGRAM FOLDER")
		return exitInvalid
	}
	program, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	r, err := newRun(program, args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer r.close()
	watchdog := time.AfterFunc(maxRun, func() {
		r.log("the run took too long")
		r.close()
		os.Exit(exitInvalid)
	})
	defer watchdog.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.log("case %s, trouble %t", args[0], trouble)
	v, err := cases[args[0]](r, trouble)
	switch {
	case err != nil:
		r.log("could not run: %v", err)
		return exitInvalid
	case v.broken:
		r.log("BROKEN: %s", v.text)
		return exitBroken
	default:
		r.log("held: %s", v.text)
		return exitHeld
	}
}
