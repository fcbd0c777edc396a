package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Main runs a program with the process's arguments until it ends or the process
// gets SIGTERM or SIGINT, and ends the process with the program's exit code.
func Main(run func(ctx context.Context, args []string, stdout, stderr io.Writer) int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
