// Command stand2 plays the cases 6 to 10 of the review: it starts the project's own
// programs as separate processes on loopback and plays clients, routers, hosts and the
// operator by the users' pages.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripts by name; each is added by its own file.
var cases = map[string]func(l *lab) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case, and ends everything that it started.
func play(run func(l *lab) error, folder string) int {
	l, err := newLab(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		l.close()
		os.Exit(exitFailed)
	}()
	if err := run(l); err != nil {
		l.note("the case couldn't run: %v", err)
		return exitFailed
	}
	if len(l.broken) > 0 {
		for _, text := range l.broken {
			l.note("BROKEN %s", text)
		}
		return exitBroken
	}
	l.note("HELD")
	return exitHeld
}
