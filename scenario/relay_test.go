package scenario

import (
	"fmt"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlock/peridotlock/faultnet"
)

// relay is a relay that a script has started.
type relay struct{ *faultnet.Relay }

// startRelay relays to a target and sets the variable NAME to the address:
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

// disturb changes what a relay does: disturb NAME refuse|cut|silence|drop|heal.
// Silence is for open connections only, drop is for new ones as well.
func disturb(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("disturb NAME refuse|cut|silence|drop|heal")
	}
	r, ok := stateOf(ts).relays[args[0]]
	if !ok {
		return fmt.Errorf("no relay %q", args[0])
	}
	switch args[1] {
	case "refuse":
		return r.Set(faultnet.Condition{Refuse: true})
	case "cut":
		r.ResetConnections()
	case "silence":
		r.SilenceConnections()
	case "drop":
		c := faultnet.Condition{}
		c.Silent[faultnet.ToTarget] = true
		c.Silent[faultnet.ToCaller] = true
		return r.Set(c)
	case "heal":
		return r.Set(faultnet.Condition{})
	default:
		return fmt.Errorf("no disturbance %q", args[1])
	}
	return nil
}
