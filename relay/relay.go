// Package relay hands settings and the VM list from a scheduler to its peers
// and to the entry process on the same VM, so that one reader per failure
// domain suffices on the platform's log.
package relay

import (
	"time"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/settings"
)

// ServiceName is the name of the net/rpc service.
const ServiceName = "Relay"

// SnapshotArgs asks for whatever is newer than what the caller holds. The
// answer waits up to Wait for a change. Node and Process name the caller, and
// Revision acknowledges what it has in force.
type SnapshotArgs struct {
	Node     string          `cbor:"1,keyasint"`
	Process  string          `cbor:"2,keyasint"` // such as "entry"
	Revision platform.Offset `cbor:"3,keyasint"` // -1 for none
	VMsHash  uint64          `cbor:"4,keyasint"` // 0 for none
	Wait     time.Duration   `cbor:"5,keyasint"`
}

// SnapshotReply is the answer. View is nil when the revision did not change,
// VMs is nil when the list did not. Age is how long ago the settings were last
// known to be the newest.
type SnapshotReply struct {
	View    *settings.View  `cbor:"1,keyasint"`
	VMs     []platform.VM   `cbor:"2,keyasint"`
	VMsHash uint64          `cbor:"3,keyasint"`
	Age     time.Duration   `cbor:"4,keyasint"`
	Seen    platform.Offset `cbor:"5,keyasint"` // revision of the sender
}
