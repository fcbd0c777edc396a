package scheduler

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// group runs the parts of a scheduler; when one fails, all end.
type group struct {
	g   *errgroup.Group
	ctx context.Context
}

func newGroup(ctx context.Context) *group {
	g, ctx := errgroup.WithContext(ctx)
	return &group{g: g, ctx: ctx}
}

func (g *group) start(part string, run func(ctx context.Context) error) {
	g.g.Go(func() error {
		if err := run(g.ctx); err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
		return nil
	})
}

func (g *group) wait() error { return g.g.Wait() }
