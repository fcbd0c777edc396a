package scenario

import (
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlock/peridotlock/standin/loopback"
)

// addressNames are the variables that hold free addresses, "IP:port".
var addressNames = []string{
	"CONTROL", "LOG", "VMS",
	"A_CALLERS", "A_ENTRY", "A_CONTROL", "A_OPERATORS",
	"B_CALLERS", "B_ENTRY", "B_CONTROL", "B_OPERATORS",
	"C_CALLERS", "C_ENTRY", "C_CONTROL", "C_OPERATORS",
}

func readyURL(env *testscript.Env, name string) string {
	return "http://" + env.Getenv(name) + "/readyz"
}

// reservePorts sets the variables to free addresses. SERVERS, ENTRIES and READY
// list those of all three entry VMs.
func reservePorts(env *testscript.Env) error {
	free, err := loopback.Addresses(len(addressNames))
	if err != nil {
		return err
	}
	for i, name := range addressNames {
		env.Setenv(name, free[i])
	}
	for _, name := range []string{"LOG_A", "LOG_B", "LOG_C"} {
		env.Setenv(name, env.Getenv("LOG"))
	}
	env.Setenv("SERVERS", env.Getenv("A_OPERATORS")+","+env.Getenv("B_OPERATORS")+","+env.Getenv("C_OPERATORS"))
	env.Setenv("ENTRIES", env.Getenv("A_CALLERS")+","+env.Getenv("B_CALLERS")+","+env.Getenv("C_CALLERS"))
	env.Setenv("READY", readyURL(env, "A_ENTRY")+","+readyURL(env, "B_ENTRY")+","+readyURL(env, "C_ENTRY"))
	return nil
}
