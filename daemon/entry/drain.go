package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/config"
	core "github.com/peridotlock/peridotlock/entry"
)

// server holds the servers of the entry.
type server struct {
	node   config.Node
	log    logr.Logger
	entry  *core.Entry
	status *readiness
}

// run serves until ctx ends and then drains: not ready first, after a while no
// new connections, then the requests in flight to their end.
func (d *server) run(ctx context.Context, callers, operators net.Listener) error {
	front := callerServer(d.entry)
	back := &http.Server{Handler: d.status.handler(), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 2)
	go func() { failed <- front.Serve(core.Listener(callers)) }()
	go func() { failed <- back.Serve(operators) }()
	defer back.Close()
	select {
	case err := <-failed:
		front.Close()
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return d.drain(front)
}

func (d *server) drain(front *http.Server) error {
	wait := time.Duration(d.node.DrainMilliseconds) * time.Millisecond
	d.log.Info("drain begins", "wait", wait)
	d.status.drain()
	d.entry.StartDraining()
	time.Sleep(wait)
	d.entry.EndWatches()
	if err := front.Shutdown(context.Background()); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shut down: %w", err)
	}
	d.entry.Close()
	d.log.Info("drain ends")
	return nil
}
