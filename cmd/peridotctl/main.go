// Peridotctl is the operators' client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peridotlock/peridotlock/daemon/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
