// Package wire carries net/rpc calls between the project's own processes with
// CBOR as the codec, a deadline on each call, a bound on the calls in flight,
// and a fresh connection whenever one went silent.
package wire

import (
	"bufio"
	"io"
	"net/rpc"

	"github.com/fxamacker/cbor/v2"
)

// codec implements rpc.ClientCodec and rpc.ServerCodec over one connection.
type codec struct {
	conn io.ReadWriteCloser
	buf  *bufio.Writer
	enc  *cbor.Encoder
	dec  *cbor.Decoder
}

func newCodec(conn io.ReadWriteCloser) *codec {
	buf := bufio.NewWriter(conn)
	return &codec{conn: conn, buf: buf, enc: cbor.NewEncoder(buf), dec: cbor.NewDecoder(conn)}
}

func (c *codec) write(header, body any) error {
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buf.Flush()
}

// readBody decodes one body; a nil body is skipped, since nobody waits for it.
func (c *codec) readBody(body any) error {
	if body == nil {
		return c.dec.Skip()
	}
	return c.dec.Decode(body)
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// requestHeader is rpc.Request on the wire, an array of two.
type requestHeader struct {
	_      struct{} `cbor:",toarray"`
	Method string
	Seq    uint64
}

// responseHeader is rpc.Response on the wire, an array of two. The caller knows
// the method by the sequence number.
type responseHeader struct {
	_     struct{} `cbor:",toarray"`
	Seq   uint64
	Error string
}

type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(requestHeader{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h responseHeader
	if err := c.dec.Decode(&h); err != nil {
		return err
	}
	r.Seq = h.Seq
	r.Error = h.Error
	return nil
}

func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

type serverCodec struct{ *codec }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h requestHeader
	if err := c.dec.Decode(&h); err != nil {
		return err
	}
	r.ServiceMethod = h.Method
	r.Seq = h.Seq
	return nil
}

func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(responseHeader{Seq: r.Seq, Error: r.Error}, body)
}
