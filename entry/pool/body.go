package pool

import (
	"io"
	"net/http"
	"sync"
)

// buffers holds read buffers for responses of unknown length.
var buffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// readBody reads a response of up to BufferBytes completely and returns its
// connection to the pool. The remainder of a larger one is left in Rest.
func (x *Exchange) readBody(p *Pool, c *conn, resp *http.Response, stop func() bool) (*Response, error) {
	response := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Close: resp.Close}
	rest := &responseRest{body: resp.Body, pool: p, conn: c, stop: stop, reusable: !resp.Close && !c.partialWrite}
	if resp.Body == http.NoBody {
		rest.complete = true
		return response, rest.Close()
	}
	if resp.ContentLength > x.BufferBytes || x.BufferBytes == 0 {
		return x.streamRest(response, rest)
	}
	body, complete, err := readUpTo(resp.Body, resp.ContentLength, x.BufferBytes)
	if err != nil {
		return nil, err
	}
	response.Body = body
	if !complete {
		return x.streamRest(response, rest)
	}
	if response.Length < 0 {
		response.Length = int64(len(body))
	}
	if c.state() == stateUnexpectedData {
		return nil, &Error{Fault: FaultMalformed, Err: errTrailingBytes}
	}
	rest.complete = true
	return response, rest.Close()
}

// streamRest leaves the unread part of the body to the caller of the exchange.
func (x *Exchange) streamRest(response *Response, r *responseRest) (*Response, error) {
	r.conn.SetDeadline(x.StreamDeadline)
	response.Rest = r
	return response, nil
}

// readUpTo reads r to its end and reports whether it did. If length is unknown (-1), it stops after exceeding
// limit bytes by at most one buffer.
func readUpTo(r io.Reader, length, limit int64) (body []byte, complete bool, err error) {
	if length >= 0 {
		body = make([]byte, length)
		if _, err = io.ReadFull(r, body); err != nil {
			return nil, false, unexpectedEOF(err)
		}
		return body, true, expectEOF(r)
	}
	chunk := buffers.Get().(*[32 << 10]byte)
	defer buffers.Put(chunk)
	for int64(len(body)) <= limit {
		n, err := r.Read(chunk[:])
		body = append(body, chunk[:n]...)
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// expectEOF reads past the last byte, so that the body registers its end. It fails
// if there are more bytes.
func expectEOF(r io.Reader) error {
	var b [1]byte
	if _, err := r.Read(b[:]); err != io.EOF {
		return unexpectedEOF(err)
	}
	return nil
}

func unexpectedEOF(err error) error {
	if err == nil || err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// responseRest is the unread part of a response. Closing it returns the connection
// to the pool if the response was read to its end, and closes the connection
// otherwise.
type responseRest struct {
	body     io.ReadCloser
	pool     *Pool
	conn     *conn
	stop     func() bool
	reusable bool
	complete bool
	closed   bool
}

// Read implements io.Reader.
func (r *responseRest) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Close implements io.Closer.
func (r *responseRest) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if r.stop() && r.complete && r.reusable && r.conn.reader.Buffered() == 0 {
		r.pool.put(r.conn)
		return nil
	}
	r.pool.discard(r.conn)
	return nil
}
