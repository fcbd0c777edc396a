package scenario

import (
	"fmt"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlock/peridotlock/faultnet"
)

// relay is a relay that a script has started.
type relay struct{ *faultnet.Relay }

// startRelay starts a relay to a target and sets the variable NAME to its address:
// relay NAME TARGET.
func startRelay(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("relay NAME TARGET")
	}
	r, err := faultnet.New(args[1])
	if err != nil {
		return err
	}
	stateOf(ts).relays[args[0]] = &relay{r}
	ts.Setenv(args[0], r.Addr())
	return nil
}

// disturb injects or removes faults of a relay: disturb NAME
// refuse|cut|silence|drop|heal. silence affects open connections only, drop affects
// new ones as well.
func disturb(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("disturb NAME refuse|cut|silence|drop|heal")
	}
	r, ok := stateOf(ts).relays[args[0]]
	if !ok {
		return fmt.Errorf("unknown relay %q", args[0])
	}
	switch args[1] {
	case "refuse":
		return r.Set(faultnet.Condition{Refuse: true})
	case "cut":
		r.Cut()
	case "silence":
		r.Silence()
	case "drop":
		c := faultnet.Condition{}
		c.Silent[faultnet.ToTarget] = true
		c.Silent[faultnet.ToCaller] = true
		return r.Set(c)
	case "heal":
		return r.Set(faultnet.Condition{})
	default:
		return fmt.Errorf("unknown disturbance %q", args[1])
	}
	return nil
}
