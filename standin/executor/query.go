package executor

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotlock/peridotlock/standin/ledger"
)

// The headers and parameters of a request that the executor reads.
const (
	HeaderRequestID = "X-Request-Id" // names the request in the ledger and the answer
	ParamBytes      = "bytes"        // size of the answer
	ParamDelay      = "delay_ms"     // added to the service time
	ParamEvents     = "events"       // events of a watch; 0 for no end
	watchMedia      = "text/event-stream"
	headerAttempt   = "Peridotlock-Attempt-Id"
	headerKey       = "Idempotency-Key" // names the request when it has no id
	maxAnswerBytes  = 64 << 20
	maxDelay        = time.Minute
)

// query is what a request asks of the executor.
type query struct {
	id, method, path string
	attempt          string // id of the entry's attempt, repeated in the answer
	body             string // hash
	bytes, events    int
	delay            time.Duration
	watch            bool
}

func newQuery(r *http.Request, body []byte) query {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		id = r.Header.Get(headerKey)
	}
	values := r.URL.Query()
	size, _ := strconv.Atoi(values.Get(ParamBytes))
	events, _ := strconv.Atoi(values.Get(ParamEvents))
	delay, _ := strconv.Atoi(values.Get(ParamDelay))
	return query{
		delay:   min(time.Duration(delay)*time.Millisecond, maxDelay),
		id:      id,
		method:  r.Method,
		attempt: r.Header.Get(headerAttempt),
		path:    r.URL.Path,
		body:    Hash(body),
		bytes:   min(size, maxAnswerBytes),
		events:  events,
		watch:   strings.Contains(r.Header.Get("Accept"), watchMedia),
	}
}

func (q query) execution(endpoint string) ledger.Execution {
	return ledger.Execution{Endpoint: endpoint, Method: q.method, Path: q.path, BodyHash: q.body, Start: time.Now()}
}

func (q query) repeatAttempt(h http.Header) {
	if q.attempt != "" {
		h.Set(headerAttempt, q.attempt)
	}
}

func (q query) answer() []byte { return Answer(q.id, q.method, q.path, q.body, q.bytes) }

func (q query) event(n int) string { return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, q.id, q.path) }

// Hash returns the hash of a body as the answer tells it.
func Hash(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// Answer returns the whole answer to a request, of at least size bytes. It
// depends on nothing else, so that a caller can check that it got its own.
func Answer(id, method, path, bodyHash string, size int) []byte {
	line := []byte(fmt.Sprintf("request=%s method=%s path=%s body=%s\n", id, method, path, bodyHash))
	return bytes.Repeat(line, max(1, (size+len(line)-1)/len(line)))
}
