package settings

import (
	"fmt"
	"time"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// Result is what became of an edit.
type Result string

// The results.
const (
	Applied Result = "applied"
	Lost    Result = "lost"    // another edit changed the same before it
	Invalid Result = "invalid" // the tree would not pass the check
)

// Change is one interpreted edit.
type Change struct {
	Revision  platform.Offset `json:"revision" cbor:"1,keyasint"`
	ID        string          `json:"id" cbor:"2,keyasint"`
	Time      time.Time       `json:"time" cbor:"3,keyasint"` // platform's clock
	Branch    fleet.Path      `json:"branch" cbor:"4,keyasint"`
	Base      platform.Offset `json:"base" cbor:"5,keyasint"`
	Operation Operation       `json:"operation" cbor:"6,keyasint"`
	Author    string          `json:"author" cbor:"7,keyasint"`
	Note      string          `json:"note,omitempty" cbor:"8,keyasint"`
	Result    Result          `json:"result" cbor:"9,keyasint"`
	Detail    string          `json:"detail,omitempty" cbor:"10,keyasint"`
	Conflicts []Conflict      `json:"conflicts,omitempty" cbor:"11,keyasint"` // lost
	Findings  finding.List    `json:"findings,omitempty" cbor:"12,keyasint"`  // invalid
	Replaced  []Document      `json:"-" cbor:"13,keyasint"`                   // applied: documents that it took away
}

// Conflict says who changed what an edit touches since its base.
type Conflict struct {
	Branch   fleet.Path      `json:"branch" cbor:"1,keyasint"`
	Key      string          `json:"key" cbor:"2,keyasint"`
	Value    string          `json:"value,omitempty" cbor:"3,keyasint"` // now; empty when removed
	Revision platform.Offset `json:"revision" cbor:"4,keyasint"`
	Author   string          `json:"author,omitempty" cbor:"5,keyasint"`
	Note     string          `json:"note,omitempty" cbor:"6,keyasint"`
}

// String returns a line such as "zavod: policy.tasks.lease is now 8s since
// revision 12 by ana (note)".
func (c Conflict) String() string {
	branch := string(c.Branch)
	if branch == "" {
		branch = "/"
	}
	state := "was removed"
	if c.Value != "" {
		state = "is now " + c.Value
	}
	out := fmt.Sprintf("%s: %s %s since revision %d", branch, c.Key, state, c.Revision)
	if c.Author != "" {
		out += " by " + c.Author
	}
	if c.Note != "" {
		out += " (" + c.Note + ")"
	}
	return out
}
