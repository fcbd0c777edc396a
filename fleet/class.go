package fleet

// RequestClass tells how a request may be repeated.
type RequestClass string

// The classes of a request.
const (
	Idempotent    RequestClass = "idempotent"     // may be sent again
	NonIdempotent RequestClass = "non-idempotent" // written to at most one endpoint
	Watch         RequestClass = "watch"          // long-lived stream, outside the latency measure
)

// TaskClass separates latency-critical service tasks from batch tasks.
type TaskClass string

// The classes of a task.
const (
	LatencyCritical TaskClass = "latency-critical"
	Batch           TaskClass = "batch"
)
