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

// server holds the HTTP servers of the entry and what they serve.
type server struct {
	node   config.Node
	log    logr.Logger
	entry  *core.Entry
	status *readiness
}

// run serves until ctx ends and then drains. The entry first reports not ready and
// refuses new watches. After the drain wait it ends watches, accepts no new
// connections and finishes the requests in flight.
func (s *server) run(ctx context.Context, callers, operators net.Listener) error {
	callersServer := callerServer(s.entry)
	operatorsServer := &http.Server{Handler: s.status.handler(), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 2)
	go func() { failed <- callersServer.Serve(core.Listener(callers)) }()
	go func() { failed <- operatorsServer.Serve(operators) }()
	defer operatorsServer.Close()
	select {
	case err := <-failed:
		callersServer.Close()
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(callersServer)
}

func (s *server) drain(callersServer *http.Server) error {
	wait := time.Duration(s.node.DrainMilliseconds) * time.Millisecond
	s.log.Info("draining", "wait", wait)
	s.status.startDrain()
	s.entry.StartDraining()
	time.Sleep(wait)
	s.entry.EndWatches()
	if err := callersServer.Shutdown(context.Background()); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shut down callers' server: %w", err)
	}
	s.entry.Close()
	s.log.Info("drained")
	return nil
}
