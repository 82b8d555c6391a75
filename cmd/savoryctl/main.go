// Command savoryctl is the command-line tool for operators of the load balancer.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/savorytiller/savorytiller/internal/adapter/operatorcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := operatorcli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
