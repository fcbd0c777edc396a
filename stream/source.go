package stream

import (
	"context"
	"time"

	"github.com/peridotlock/peridotlock/platform"
)

// Feed is what a source knows of a stream from some offset on. Records left
// out below Next have no effect on any reader. Age is negative when the source
// learned that it has everything while the request waited.
type Feed struct {
	Batch    platform.Batch `cbor:"1,keyasint"`
	Age      time.Duration  `cbor:"2,keyasint"` // from when the source last had everything to when it got the request
	Snapshot []byte         `cbor:"3,keyasint"` // instead of records that the source no longer holds
}

// Source supplies the records of streams: the platform's log, or a peer that
// follows it.
type Source interface {
	// Read returns what follows from, and waits up to wait for it. The error
	// wraps platform.ErrTrimmed when the source no longer holds it; the Feed
	// then has First and End.
	Read(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (Feed, error)
}

// SourceFunc is a function that is a Source.
type SourceFunc func(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (Feed, error)

// Read implements Source.
func (f SourceFunc) Read(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (Feed, error) {
	return f(ctx, stream, from, max, wait)
}

// logSource reads from the platform's log.
func logSource(log platform.Log) Source {
	return SourceFunc(func(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (Feed, error) {
		batch, err := log.Read(ctx, stream, from, max, wait)
		return Feed{Batch: batch}, err
	})
}
