package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/standin/fault"
	"github.com/peridotlock/peridotlock/standin/ledger"
)

// maxControlBytes bounds the body of a control request.
const maxControlBytes = 1 << 20

// FaultRequest is the body of POST /control/faults. The fault replaces the one
// that the target has; an empty one makes the target sound.
type FaultRequest struct {
	Target string      `json:"target"`
	Fault  fault.Fault `json:"fault"`
}

// VMRequest is the body of POST /control/vms. An empty state removes the VM.
type VMRequest struct {
	ID    string           `json:"id"`
	State platform.VMState `json:"state"`
}

// TrimRequest is the body of POST /control/trim: the log forgets the records
// of a stream before an offset.
type TrimRequest struct {
	Stream string          `json:"stream"`
	Before platform.Offset `json:"before"`
}

func (d *Deployment) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) { write(w, d.addresses) })
	mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { write(w, d.Faults.All()) })
	mux.HandleFunc("GET /control/ledger", func(w http.ResponseWriter, _ *http.Request) { write(w, d.Ledger.Summary()) })
	mux.HandleFunc("GET /control/ledger/runs", d.serveRuns)
	mux.HandleFunc("GET /control/ledger/executions", d.serveExecutions)
	mux.HandleFunc("GET /control/ledger/counts", func(w http.ResponseWriter, _ *http.Request) { write(w, d.Ledger.ExecutionCounts()) })
	mux.HandleFunc("POST /control/faults", change(d.setFault))
	mux.HandleFunc("POST /control/vms", change(d.setVM))
	mux.HandleFunc("POST /control/trim", change(d.trim))
	return mux
}

// serveRuns answers the runs selected by the parameters task, failure_domain,
// running, and after and before, which are RFC 3339 times.
func (d *Deployment) serveRuns(w http.ResponseWriter, r *http.Request) {
	after, errAfter := timeOf(r, "after")
	before, errBefore := timeOf(r, "before")
	if err := errors.Join(errAfter, errBefore); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	write(w, d.Ledger.Runs(ledger.Filter{
		Task:          r.FormValue("task"),
		FailureDomain: fleet.Path(r.FormValue("failure_domain")),
		After:         after,
		Before:        before,
		Running:       r.FormValue("running") == "true",
	}))
}

// serveExecutions answers the executions selected by the parameters request,
// endpoint and after.
func (d *Deployment) serveExecutions(w http.ResponseWriter, r *http.Request) {
	after, err := timeOf(r, "after")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	write(w, d.Ledger.Executions(ledger.ExecutionFilter{
		Request:  r.FormValue("request"),
		Endpoint: r.FormValue("endpoint"),
		After:    after,
	}))
}

func timeOf(r *http.Request, name string) (time.Time, error) {
	value := r.FormValue(name)
	if value == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return at, fmt.Errorf("%s: %w", name, err)
	}
	return at, nil
}

func (d *Deployment) setFault(r FaultRequest) error {
	if !d.isTarget(r.Target) {
		return fmt.Errorf("no target %q", r.Target)
	}
	d.Faults.Set(r.Target, r.Fault)
	return nil
}

func (d *Deployment) isTarget(name string) bool {
	if name == TargetLog || name == TargetVMs {
		return true
	}
	for _, vm := range d.addresses.List {
		if vm.ID == name && vm.Kind != platform.KindEntry {
			return true
		}
	}
	return false
}

func (d *Deployment) setVM(r VMRequest) error {
	if !d.List.SetState(r.ID, r.State) {
		return fmt.Errorf("no VM %q", r.ID)
	}
	return nil
}

func (d *Deployment) trim(r TrimRequest) error {
	d.Store.Trim(r.Stream, r.Before)
	return nil
}

// change decodes a request and applies it.
func change[R any](apply func(R) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body R
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		dec.DisallowUnknownFields()
		err := dec.Decode(&body)
		if err == nil {
			err = apply(body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func write(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the connection is gone, so nobody can be told.
	_ = json.NewEncoder(w).Encode(body)
}
