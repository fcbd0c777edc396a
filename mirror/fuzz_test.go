package mirror

import (
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/provider"
)

// FuzzReply checks that a reply of a peer that is accepted continues the copy of the reader.
func FuzzReply(f *testing.F) {
	data, _ := encodeRecords([]provider.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 5}})
	f.Add(byte(0), data, int64(6), int64(0), int64(0), int64(5), false)
	f.Add(byte(9), []byte{0xff}, int64(-1), int64(-1), int64(-1), int64(-1), true)
	f.Fuzz(func(t *testing.T, status byte, records []byte, end, age, waited, from int64, newest bool) {
		args := ReadArgs{Newest: newest, From: provider.Offset(from)}
		batch, err := decodeReply(ReadReply{Status: Status(status), Records: records, End: provider.Offset(end), Age: time.Duration(age), Waited: time.Duration(waited)}, args, time.Second)
		if err != nil {
			return
		}
		if batch.Age < 0 || batch.Age > maxPeerAge {
			t.Fatalf("age %v was accepted", batch.Age)
		}
		c := NewCopy(func() (time.Duration, bool) { return 0, true })
		c.Observe(batch.Records, batch.End, newest)
		for _, request := range []ReadArgs{args, {Newest: true}, {From: batch.End}, {From: provider.Offset(end)}} {
			if _, err := c.read(request); err != nil {
				t.Fatal(err)
			}
		}
	})
}
