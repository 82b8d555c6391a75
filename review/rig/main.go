// Command rig plays the cases of the review that cannot be put as a day of the bench. It starts the
// project's own programs as separate processes on loopback addresses, and stands in for the
// platform around them: the store, the backend servers, the routers and the clients. It shares no
// code with the product.
//
// Usage: rig CASE RECORD, in the root of the repository. RECORD is the file to which the case writes
// what was sent, answered and run. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not
// run. With TROUBLE=0 in the environment the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// cases are the cases by the name of their folder.
var cases = map[string]func(*world) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case in a new world, writes its record, and returns the exit code.
func play(name, path string) int {
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.printf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- cases[name](w) }()
	select {
	case err = <-done:
	case <-time.After(limit):
		err = fmt.Errorf("the case took longer than %v", limit)
	case s := <-stopped:
		err = fmt.Errorf("stopped by %v", s)
	}
	if err == nil {
		err = w.exited()
	}
	if err != nil {
		record.printf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if broken := record.brokenRules(); len(broken) > 0 {
		record.printf("verdict: broken")
		fmt.Printf("%s: broken %d times; the first: %s\n", name, len(broken), broken[0])
		return exitBroken
	}
	record.printf("verdict: held")
	fmt.Printf("%s: held\n", name)
	return exitHeld
}
