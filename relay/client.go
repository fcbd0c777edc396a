package relay

import (
	"context"
	"time"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/stream"
	"github.com/peridotlock/peridotlock/wire"
)

const answerMargin = time.Second // beyond the wait of a long poll

// Peer returns a source of streams that asks the scheduler at addr.
func Peer(pool *wire.Pool, addr string) stream.Source {
	return stream.SourceFunc(func(ctx context.Context, name string, from platform.Offset, limit int, wait time.Duration) (stream.Feed, error) {
		ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
		defer cancel()
		args := StreamArgs{Stream: name, From: from, Max: limit, Wait: wait}
		var reply StreamReply
		if err := pool.Client(addr).Call(ctx, ServiceName+".Stream", args, &reply); err != nil {
			return stream.Feed{}, err
		}
		return reply.feed(), nil
	})
}
