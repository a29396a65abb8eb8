// Command stand plays one case of the review: it starts the project's own programs as separate processes on loopback
// addresses, with stand-ins for the platform, the workers, the operator and the clients.
//
// Usage: stand CASE RECORD-FILE, with TROUBLE=0 in the environment to leave the disruption out.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case and reports whether the rule was broken.
type caseFunc func(s *site, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{"isolation": playIsolation, "memory": playMemory, "last-tenant": playLastTenant}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run caseFunc, recordFile string) int {
	record, err := newRecorder(recordFile)
	if err == nil {
		var s *site
		if s, err = newSite(record); err == nil {
			defer s.stop()
			go endEarly(s)
			var broken bool
			if broken, err = run(s, os.Getenv("TROUBLE") != "0"); err == nil {
				return verdict(record, broken)
			}
		}
		record.line("the case couldn't run: %v", err)
	}
	fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	return exitNotRun
}

// timeLimit is how long a case may run; the review allows 120 s.
const timeLimit = 112 * time.Second

// endEarly ends the case if it is interrupted or takes too long.
func endEarly(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	s.record.line("the case was interrupted or took longer than %v", timeLimit)
	s.stop()
	os.Exit(exitNotRun)
}

func verdict(record *recorder, broken bool) int {
	if broken {
		record.line("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	record.line("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
