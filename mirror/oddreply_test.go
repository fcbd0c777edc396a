package mirror

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/provider"
)

// A negative age made a copy count as up to date in the future, and one key that is not UTF-8
// made peers fail to decode all records.
func TestOddReplyOfPeer(t *testing.T) {
	encoded := func(records ...provider.KeyedRecord) []byte {
		data, err := encodeRecords(records)
		So(err, ShouldBeNil)
		return data
	}
	Convey("A reply that no peer sends is an error", t, func() {
		one := provider.KeyedRecord{Key: "k", Value: []byte("v"), Offset: 5}
		args := ReadArgs{From: 5}
		for name, reply := range map[string]ReadReply{
			"negative age":                {Age: -time.Hour, End: 5},
			"age at the end of the range": {Age: 1<<63 - 1, End: 5},
			"negative wait":               {Waited: -time.Hour, End: 5},
			"an unknown status":           {Status: 9, End: 5},
			"an end before the request":   {End: 4},
			"a negative end":              {End: -1},
			"no compressed records":       {Records: []byte{1, 2, 3}, End: 6},
			"a record before the request": {Records: encoded(provider.KeyedRecord{Key: "k", Offset: 4}), End: 6},
			"a record after the end":      {Records: encoded(one), End: 5},
			"records out of order":        {Records: encoded(provider.KeyedRecord{Offset: 7}, provider.KeyedRecord{Offset: 6}), End: 8},
		} {
			if _, err := decodeReply(reply, args, time.Millisecond); err == nil {
				t.Errorf("reply with %s was accepted", name)
			}
		}
		batch, err := decodeReply(ReadReply{Records: encoded(one), End: 6}, args, time.Millisecond)
		So(err, ShouldBeNil)
		So(batch.Records, ShouldResemble, []provider.KeyedRecord{one})
	})
	Convey("A key that is not UTF-8 does not hide the other records", t, func() {
		records := []provider.KeyedRecord{{Key: "\xff", Value: []byte{}, Offset: 1}, {Key: "k", Value: []byte("v"), Offset: 2}}
		got, err := decodeRecords(encoded(records...))
		So(err, ShouldBeNil)
		So(got, ShouldResemble, records)
	})
}
