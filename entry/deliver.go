package entry

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/entry/pool"
)

const (
	callerWriteTimeout = 10 * time.Second // a caller that takes nothing for so long is cut
	socketBufferBytes  = 16 << 10         // answers up to this fit the socket's buffer
	copyBufferBytes    = 32 << 10         // bytes
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// deliver passes a whole answer on, or streams one whose start is held. A
// streamed answer that is cut ends in an aborted connection.
func (c *call) deliver(a *pool.Response) *answer.Problem {
	c.writeHeader(a)
	if a.Rest == nil {
		c.writeBody(a.Body)
		return nil
	}
	defer a.Rest.Close()
	control := http.NewResponseController(c.w)
	defer control.SetWriteDeadline(time.Time{})
	c.writeChunk(control, a.Body)
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := a.Rest.Read(buffer[:])
		c.writeChunk(control, buffer[:n])
		if err == io.EOF {
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func (c *call) writeHeader(a *pool.Response) {
	h := c.w.Header()
	closing := h["Connection"]
	answer.CopyEndToEnd(h, a.Header)
	delete(h, AttemptHeader)
	if closing != nil {
		h["Connection"] = closing
	}
	if a.Length >= 0 && a.Status != http.StatusNoContent {
		h["Content-Length"] = []string{strconv.FormatInt(a.Length, 10)}
	}
	c.w.WriteHeader(a.Status)
}

func (c *call) writeBody(body []byte) {
	if len(body) == 0 {
		return
	}
	if len(body) > socketBufferBytes {
		control := http.NewResponseController(c.w)
		control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		defer control.SetWriteDeadline(time.Time{})
	}
	if _, err := c.w.Write(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (c *call) writeChunk(control *http.ResponseController, b []byte) {
	if len(b) == 0 {
		return
	}
	control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := c.w.Write(b); err != nil {
		panic(http.ErrAbortHandler)
	}
}
