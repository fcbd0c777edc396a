// Command peridotlock-standin stands in for the platform on one machine.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peridotlock/peridotlock/daemon/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := standin.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
