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

// reservePorts sets the variables to addresses that were free just now. All
// are held open until the last is known, so that no two are alike.
func reservePorts(env *testscript.Env) error {
	for _, name := range addressNames {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close()
		env.Setenv(name, l.Addr().String())
	}
	return nil
}
