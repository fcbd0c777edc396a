// Package query serves the operators' HTTP requests that only read.
package query

import (
	"context"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// Present asks for the newest revision.
const Present platform.Offset = -1

// Settings reads the settings. Errors of type *problem.Problem reach the
// client as they are.
type Settings interface {
	View(ctx context.Context) (*settings.View, error)
	History(ctx context.Context, n int) ([]settings.Change, error)
	Document(ctx context.Context, path fleet.Path, revision platform.Offset) (Document, error)
	Effective(ctx context.Context, path fleet.Path) ([]settings.Effective, error)
	InForce(ctx context.Context, revision platform.Offset) (InForce, error)
}

// Document is the text of a branch and the base that an edit of it names.
type Document struct {
	settings.Document
	Base platform.Offset `json:"base"`
}

// InForce says which processes of live VMs have a revision in force.
type InForce struct {
	Revision platform.Offset   `json:"revision"`
	Complete bool              `json:"complete"` // every process of every live VM has
	VMs      []Acknowledgement `json:"vms"`
}

// Acknowledgement is the newest revision that a process is known to have in
// force.
type Acknowledgement struct {
	VM           string          `json:"vm"`
	Process      string          `json:"process"`
	Revision     platform.Offset `json:"revision"`
	Acknowledged bool            `json:"acknowledged"`
	Age          time.Duration   `json:"age_ns"`
}

// Jobs reads the state of jobs.
type Jobs interface {
	Show(ctx context.Context, id string) (job.Status, error)
	List(ctx context.Context, f JobFilter) ([]job.Status, error) // without tasks
	Explain(ctx context.Context, id string) ([]Explanation, error)
}

// JobFilter selects jobs; an empty member selects all.
type JobFilter struct {
	Team  fleet.Path
	State job.State
	Limit int
}

// Explanation says why a task waits or why it runs where it does.
type Explanation struct {
	Task    string    `json:"task"`
	State   job.State `json:"state"`
	VM      string    `json:"vm,omitempty"`
	Reasons []string  `json:"reasons"`
}

// VMs lists the VMs of the platform with what the system knows of them.
type VMs interface {
	VMs(ctx context.Context) ([]VM, error)
}

// VM is one VM.
type VM struct {
	platform.VM
	Out         bool            `json:"out"`
	Quarantined bool            `json:"quarantined"`
	Unreachable bool            `json:"unreachable"`
	Committed   fleet.Resources `json:"committed,omitzero"`
	Used        fleet.Resources `json:"used,omitzero"`
	Tasks       int             `json:"tasks"`
}

// Statuses reports on the scheduler that answers.
type Statuses interface {
	Status(ctx context.Context) (Status, error)
}

// Status is the state of one scheduler.
type Status struct {
	Node          string          `json:"node"`
	FailureDomain fleet.Path      `json:"failure_domain"`
	Ready         bool            `json:"ready"`
	Reasons       []string        `json:"reasons,omitempty"` // why it is not ready
	Revision      platform.Offset `json:"revision"`
	SettingsAge   time.Duration   `json:"settings_age_ns"` // since the settings were known to be the newest
	LogAvailable  bool            `json:"log_available"`
	LiveVMs       int             `json:"live_vms"`
	Racks         []fleet.Path    `json:"racks,omitempty"`  // owned by the node
	Queues        []fleet.Path    `json:"queues,omitempty"` // owned by the node
}
