package settings

import "slices"

// Kind is the role of a branch in the tree.
type Kind string

// The kinds of branch. A branch without a kind only groups others.
const (
	KindNone          Kind = ""
	KindOrganisation  Kind = "organisation"
	KindRegion        Kind = "region"
	KindFailureDomain Kind = "failure-domain"
	KindRack          Kind = "rack"
	KindService       Kind = "service"
	KindTeam          Kind = "team"
)

// kindRoot is the kind of the root in the tables below; no document names it.
const kindRoot Kind = "root"

// parentKinds lists, for each kind, what its nearest ancestor with a kind may
// be.
var parentKinds = map[Kind][]Kind{
	KindOrganisation:  {kindRoot},
	KindRegion:        {kindRoot, KindOrganisation},
	KindFailureDomain: {KindRegion},
	KindRack:          {KindFailureDomain},
	KindService:       {kindRoot, KindOrganisation},
	KindTeam:          {kindRoot, KindOrganisation},
}

func (k Kind) isKnown() bool {
	_, ok := parentKinds[k]
	return ok
}

func (k Kind) mayStandBelow(parent Kind) bool {
	return slices.Contains(parentKinds[k], parent)
}

// The sets of kinds on which a field may be set.
var (
	onAny         = []Kind{kindRoot, KindNone, KindOrganisation, KindRegion, KindFailureDomain, KindRack, KindService, KindTeam}
	onRoot        = []Kind{kindRoot}
	onService     = []Kind{kindRoot, KindNone, KindOrganisation, KindService}
	onTeam        = []Kind{kindRoot, KindNone, KindOrganisation, KindTeam}
	onServiceOnly = []Kind{KindService}
	onDomain      = []Kind{KindFailureDomain}
)
