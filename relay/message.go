package relay

import (
	"time"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/stream"
)

// StreamArgs asks for the records of a stream from an offset on. The answer
// waits up to Wait for one.
type StreamArgs struct {
	Stream string          `cbor:"1,keyasint"`
	From   platform.Offset `cbor:"2,keyasint"`
	Max    int             `cbor:"3,keyasint"`
	Wait   time.Duration   `cbor:"4,keyasint"`
}

// StreamRecord is a record as peers exchange it.
type StreamRecord struct {
	Offset platform.Offset `cbor:"1,keyasint"`
	ID     string          `cbor:"2,keyasint"`
	Time   int64           `cbor:"3,keyasint"` // ns since 1970
	Data   []byte          `cbor:"4,keyasint"`
}

// StreamReply is the answer: see stream.Feed.
type StreamReply struct {
	Records  []StreamRecord  `cbor:"1,keyasint,omitempty"`
	First    platform.Offset `cbor:"2,keyasint"`
	Next     platform.Offset `cbor:"3,keyasint"`
	End      platform.Offset `cbor:"4,keyasint"`
	Age      time.Duration   `cbor:"5,keyasint"`
	Snapshot []byte          `cbor:"6,keyasint,omitempty"`
}

func replyOf(f stream.Feed) StreamReply {
	r := StreamReply{
		First: f.Batch.First, Next: f.Batch.Next, End: f.Batch.End,
		Age: f.Age, Snapshot: f.Snapshot,
	}
	for _, rec := range f.Batch.Records {
		r.Records = append(r.Records, StreamRecord{
			Offset: rec.Offset, ID: rec.ID, Time: rec.Time.UnixNano(), Data: rec.Data,
		})
	}
	return r
}

func (r StreamReply) feed() stream.Feed {
	f := stream.Feed{
		Batch: platform.Batch{First: r.First, Next: r.Next, End: r.End},
		Age:   r.Age, Snapshot: r.Snapshot,
	}
	for _, rec := range r.Records {
		f.Batch.Records = append(f.Batch.Records, platform.Record{
			Offset: rec.Offset, ID: rec.ID, Time: time.Unix(0, rec.Time), Data: rec.Data,
		})
	}
	return f
}

// Ack says which revision of the settings a process has in force.
type Ack struct {
	Node     string          `cbor:"1,keyasint"`
	Process  string          `cbor:"2,keyasint"`
	Revision platform.Offset `cbor:"3,keyasint"`
	At       int64           `cbor:"4,keyasint"` // ns since 1970 at the receiving scheduler
}

// AcksArgs asks a scheduler for the acknowledgements that it received.
type AcksArgs struct{}

// AcksReply is the answer.
type AcksReply struct {
	Acks []Ack `cbor:"1,keyasint"`
}

// ListArgs asks for the list of VMs, unless it has the given hash.
type ListArgs struct {
	Hash uint64 `cbor:"1,keyasint"` // 0 for none
}

// ListReply is the answer. VMs is nil when the list did not change.
type ListReply struct {
	VMs  []platform.VM `cbor:"1,keyasint,omitempty"`
	Hash uint64        `cbor:"2,keyasint"`
	AsOf int64         `cbor:"3,keyasint"` // ns since 1970
}
