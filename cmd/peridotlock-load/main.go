// Command peridotlock-load loads entries and checks every answer.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peridotlock/peridotlock/daemon/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := load.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
