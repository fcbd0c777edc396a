package entry

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/peridotlock/peridotlock/entry/answer"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/settings"
)

// Headers between callers, entries and endpoints.
const (
	DeadlineHeader = "Peridotlock-Deadline-Ms" // time left, in milliseconds
	CallerHeader   = "Peridotlock-Caller"      // name of the caller, for fairness
	AttemptHeader  = "Peridotlock-Attempt-Id"  // an endpoint that repeats it has its answers matched
)

// call is one request on its way through the steps.
type call struct {
	entry         *Entry
	snapshot      *snapshot
	w             http.ResponseWriter
	r             *http.Request
	span          trace.Span
	start         time.Time
	deadline      time.Time
	caller        string
	service       *service
	policy        *settings.RequestPolicy
	class         fleet.RequestClass
	body          []byte
	bodyRead      bool
	reservedBytes int64 // bytes counted in the entry's bodies
	attempts      atomic.Int32
}

// stage is one stage of the path of a request. It returns a problem to end the
// path, or nil to go on.
type stage interface {
	handle(c *call) *answer.Problem
}

// pipeline holds the steps that every request takes, in order.
var pipeline = []stage{validator{}, resolver{}, bodyReader{}, forwarder{}}

// timeLeft returns the time left until the deadline.
func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

func callerName(r *http.Request) string {
	if name := r.Header.Get(CallerHeader); name != "" {
		return name
	}
	host, _, found := strings.Cut(r.RemoteAddr, "]")
	if found {
		return host + "]"
	}
	host, _, _ = strings.Cut(r.RemoteAddr, ":")
	return host
}

var (
	attemptPrefix = newAttemptPrefix()
	attemptCount  atomic.Uint64
)

func newAttemptPrefix() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newAttemptID returns an id that no other attempt has.
func newAttemptID() string {
	return attemptPrefix + "-" + strconv.FormatUint(attemptCount.Add(1), 16)
}
