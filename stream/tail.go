package stream

import "github.com/peridotlock/peridotlock/platform"

const (
	defaultTail  = 1024    // records
	maxTailBytes = 1 << 20 // data of the records
)

// tail holds the newest records for peers that follow this replica.
type tail struct {
	limit   int
	start   platform.Offset // all records at and after start are held
	records []platform.Record
	bytes   int
}

func (t *tail) add(r platform.Record) {
	t.records = append(t.records, r)
	t.bytes += len(r.Data)
	for len(t.records) > t.limit || t.bytes > maxTailBytes {
		t.bytes -= len(t.records[0].Data)
		t.start = t.records[0].Offset + 1
		t.records[0] = platform.Record{}
		t.records = t.records[1:]
	}
}

func (t *tail) reset(start platform.Offset) {
	t.start, t.records, t.bytes = start, nil, 0
}

// from returns at most limit records at and after offset.
func (t *tail) from(offset platform.Offset, limit int) []platform.Record {
	i := 0
	for i < len(t.records) && t.records[i].Offset < offset {
		i++
	}
	return t.records[i:min(len(t.records), i+limit)]
}
