// Command bed plays the cases of the third review that are scripts: it starts instances of
// savorysteer as processes, and stand-ins for the store, the servers, the clients and the routers on
// loopback addresses. It exits with 1 if the rule of the case was broken, with 0 if it held, and
// with 2 if the case could not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// result is how a case ended.
type result int

const (
	held      result = 0
	broken    result = 1
	didNotRun result = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE RECORD")
		os.Exit(int(didNotRun))
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan result, 1)
	go func() { done <- cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0") }()
	select {
	case r := <-done:
		os.Exit(int(r))
	case <-stop:
		os.Exit(int(didNotRun)) // the instances end with this process
	}
}
