// Command peridotlock-entry serves callers on an entry VM.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peridotlock/peridotlock/daemon/entry"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := entry.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
