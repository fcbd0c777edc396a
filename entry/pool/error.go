package pool

import "fmt"

// Fault classifies what went wrong with an exchange.
type Fault string

// The faults of an exchange.
const (
	FaultConnect   Fault = "connect"   // no connection
	FaultFull      Fault = "full"      // as many connections as allowed are open
	FaultSilent    Fault = "silent"    // no byte of the answer within the time limit
	FaultCut       Fault = "cut"       // the connection ended before the answer did
	FaultMalformed Fault = "malformed" // the answer is not valid or not of this request
	FaultCanceled  Fault = "canceled"  // the caller or a faster attempt ended it
)

// Error is a failed exchange. Written tells whether any byte of the request
// may have reached the endpoint.
type Error struct {
	Fault   Fault
	Written bool
	Retired bool // the connection was retired meanwhile
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange with endpoint: %s (written=%t): %v", e.Fault, e.Written, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
