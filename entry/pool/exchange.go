package pool

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"
)

// maxInformational is the number of 1xx answers accepted before the final one.
const maxInformational = 8

var (
	errUpgrade              = errors.New("endpoint switched protocols unasked")
	errUnframed             = errors.New("answer has neither a length nor an end marker")
	errTrailingBytes        = errors.New("bytes follow the end of the answer")
	errRequestIDMismatch    = errors.New("answer names another request")
	errTooManyInformational = errors.New("too many informational answers")
	pastDeadline            = time.Unix(1, 0)
)

// Exchange is one attempt at a request.
type Exchange struct {
	Request          *http.Request
	NewConnection    bool          // on a new connection
	RequestID        string        // compared with the answer's, when it has one
	IDHeader         string        // header that carries the request id
	Deadline         time.Time     // of the header and of an answer read whole; zero for none
	StreamDeadline   time.Time     // of an answer that is streamed; zero for none
	SilenceTimeout   time.Duration // time to the first byte before suspicion; 0 for none
	WaitAfterSilence bool          // waits on until Deadline after a suspicion
	OnSilence        func()        // called once at a suspicion
	HeaderBytes      int           // bound on the answer's header
	BufferBytes      int64         // answers up to this are read whole
}

// Response is an endpoint's answer. Body is the whole body when Rest is nil,
// else its start; Rest yields the remainder and must be closed.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the whole body; -1 when chunked
	Body   []byte
	Rest   io.ReadCloser
	Close  bool // the endpoint closes the connection
}

// Do makes the exchange. The error is an *Error.
func (p *Pool) Do(ctx context.Context, x *Exchange) (*Response, error) {
	connect := p.get
	if x.NewConnection {
		connect = p.connect
	}
	c, err := connect(ctx)
	if err != nil {
		return nil, err
	}
	c.writeStarted = false
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
	a, err := x.run(ctx, p, c, stop)
	if err != nil {
		stop()
		p.discard(c)
		e := x.classify(ctx, c, err)
		e.Retired = p.isRetired(c)
		return nil, e
	}
	return a, nil
}

func (x *Exchange) run(ctx context.Context, p *Pool, c *conn, stop func() bool) (*Response, error) {
	c.SetDeadline(x.Deadline)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err := x.write(c); err != nil {
		return nil, err
	}
	if err := x.awaitFirstByte(ctx, c); err != nil {
		return nil, err
	}
	resp, err := x.readHeader(c)
	if err != nil {
		return nil, err
	}
	return x.readBody(p, c, resp, stop)
}

// write sends the request. An endpoint may answer and close before it has read
// all of it, so that a failed write is no reason not to look for an answer.
func (x *Exchange) write(c *conn) error {
	c.writer.Reset(writeRecorder{c})
	err := x.Request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil || !c.writeStarted || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if _, peekErr := c.reader.Peek(1); peekErr != nil {
		return err
	}
	c.partialWrite = true
	return nil
}

// awaitFirstByte waits for the first byte of the answer.
func (x *Exchange) awaitFirstByte(ctx context.Context, c *conn) error {
	limit := time.Now().Add(x.SilenceTimeout)
	if x.SilenceTimeout == 0 || (!x.Deadline.IsZero() && limit.After(x.Deadline)) {
		_, err := c.reader.Peek(1)
		return err
	}
	c.SetReadDeadline(limit)
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
		if x.OnSilence != nil {
			x.OnSilence()
		}
		if !x.WaitAfterSilence {
			return err
		}
		c.SetReadDeadline(x.Deadline)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_, err = c.reader.Peek(1)
		return err
	}
	c.SetReadDeadline(x.Deadline)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (x *Exchange) readHeader(c *conn) (*http.Response, error) {
	c.limit.N = int64(x.HeaderBytes)
	defer func() { c.limit.N = math.MaxInt64 }()
	for range maxInformational {
		resp, err := http.ReadResponse(c.reader, x.Request)
		if err != nil {
			return nil, &Error{Fault: FaultMalformed, Err: err}
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &Error{Fault: FaultMalformed, Err: errUpgrade}
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, x.check(resp)
		}
	}
	return nil, &Error{Fault: FaultMalformed, Err: errTooManyInformational}
}

// check refuses an answer to another request and one whose end can't be told
// from a cut.
func (x *Exchange) check(resp *http.Response) error {
	if id := resp.Header.Get(x.IDHeader); id != "" && id != x.RequestID {
		return &Error{Fault: FaultMalformed, Err: errRequestIDMismatch}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return &Error{Fault: FaultMalformed, Err: errUnframed}
	}
	return nil
}

func (x *Exchange) classify(ctx context.Context, c *conn, err error) *Error {
	e := &Error{Fault: FaultCut, Err: err}
	var known *Error
	switch {
	case errors.As(err, &known):
		e.Fault = known.Fault
	case ctx.Err() != nil:
		e.Fault = FaultCanceled
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Fault = FaultSilent
	}
	e.Written = c.writeStarted
	return e
}
