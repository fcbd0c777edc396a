package scenario

import (
	"net"

	"github.com/rogpeppe/go-internal/testscript"
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

// reservePorts sets the variables to addresses that were free just now. All
// are held open until the last is known, so that no two are alike. SERVERS,
// ENTRIES and READY list those of all three entry VMs.
func reservePorts(env *testscript.Env) error {
	for _, name := range addressNames {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close()
		env.Setenv(name, l.Addr().String())
	}
	for _, name := range []string{"LOG_A", "LOG_B", "LOG_C"} {
		env.Setenv(name, env.Getenv("LOG"))
	}
	env.Setenv("SERVERS", env.Getenv("A_OPERATORS")+","+env.Getenv("B_OPERATORS")+","+env.Getenv("C_OPERATORS"))
	env.Setenv("ENTRIES", env.Getenv("A_CALLERS")+","+env.Getenv("B_CALLERS")+","+env.Getenv("C_CALLERS"))
	env.Setenv("READY", readyURL(env, "A_ENTRY")+","+readyURL(env, "B_ENTRY")+","+readyURL(env, "C_ENTRY"))
	return nil
}
