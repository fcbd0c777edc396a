// Command peridotlock-scheduler places tasks and relays settings on an entry VM.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peridotlock/peridotlock/daemon/scheduler"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := scheduler.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
