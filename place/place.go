// Package place chooses a VM for a task: filters say why a VM can't take it,
// scores order the rest. It is pure: no clock, network or goroutines.
package place

import (
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/interference"
	"github.com/peridotlock/peridotlock/settings"
)

// VM is what a decision needs to know of one worker.
type VM struct {
	ID            string
	FailureDomain fleet.Path
	Rack          fleet.Path
	Size          fleet.Resources
	Committed     fleet.Resources // sum of the sizes of its tasks
	Measured      fleet.Resources // newest lagging usage
	Tasks         []Resident
	Out           bool // its failure domain was taken out
	Leaving       bool
	Quarantined   bool
	Unreachable   bool
}

// Resident is a task on a VM.
type Resident struct {
	Task  string
	Kind  string
	Class fleet.TaskClass
	Size  fleet.Resources
}

// Request is a task to place.
type Request struct {
	Task           string
	Kind           string
	Class          fleet.TaskClass
	Size           fleet.Resources
	FailureDomains []fleet.Path // allowed; empty for all
	Avoid          []string     // VMs on which it failed before
}

// Reason says why a VM can't take a task.
type Reason string

// The reasons.
const (
	NoCPU          Reason = "not enough processor"
	NoMemory       Reason = "not enough memory"
	NoAccelerator  Reason = "not enough accelerators"
	DomainOut      Reason = "failure domain taken out"
	DomainExcluded Reason = "failure domain not allowed by the job"
	VMLeaving      Reason = "VM is leaving"
	VMQuarantined  Reason = "VM is in quarantine"
	VMUnreachable  Reason = "VM does not answer"
	VMAvoided      Reason = "task failed there before"
)

// Refusal is a VM and why it can't take the task.
type Refusal struct {
	VM        string
	Reason    Reason
	Shortfall fleet.Resources `cbor:"Lacks"` // what is missing, for the reasons of size
}

// Decision is the outcome. VM is empty when every VM refused.
type Decision struct {
	VM       string
	Score    float64
	Refusals []Refusal
}

// Choose returns the best VM for the request, or the refusals of all.
func Choose(vms []VM, r Request, w settings.Weights, m interference.Model) Decision {
	d := Decision{}
	for i := range vms {
		if refusal, refused := refuse(&vms[i], r); refused {
			d.Refusals = append(d.Refusals, refusal)
			continue
		}
		score := scoreOf(&vms[i], r, w, m)
		if d.VM == "" || score > d.Score {
			d.VM = vms[i].ID
			d.Score = score
		}
	}
	return d
}
