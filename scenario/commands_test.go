package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// stateKey is the key of the state of a script among its values.
type stateKey struct{}

// state is what a script has started.
type state struct {
	processes map[string]*process
	relays    map[string]*relay
	templates string // directory
	running   bool   // holds a place among the clusters
}

// maxClusters bounds the clusters that run at once, so that scripts don't
// starve each other of processor time.
const maxClusters = 2

var clusters = make(chan struct{}, maxClusters)

// command is a command of the script language that may be repeated.
type command func(ts *testscript.TestScript, args []string) error

// Params returns the parameters that run the scripts in dir. Templates is a
// directory whose files are copied to each script's own and expanded with its
// addresses.
func Params(dir, templates string) testscript.Params {
	p := testscript.Params{
		Dir:      dir,
		TestWork: os.Getenv("SCENARIO_KEEP") != "",
		Setup:    func(env *testscript.Env) error { return setup(env, templates) },
		Cmds:     map[string]func(*testscript.TestScript, bool, []string){"eventually": eventually},
	}
	for name, c := range commands() {
		p.Cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) { runOnce(ts, c, neg, args) }
	}
	return p
}

func commands() map[string]command {
	return map[string]command{
		"daemon":    startDaemon,
		"freeze":    freeze,
		"thaw":      thaw,
		"crash":     crash,
		"terminate": terminate,
		"await":     await,
		"cluster":   startCluster,
		"ready":     ready,
		"fault":     setFault,
		"vm":        setVM,
		"trim":      trim,
		"ledger":    checkLedger,
		"output":    checkOutput,
		"status":    checkStatus,
		"relay":     startRelay,
		"disturb":   disturb,
		"remember":  remember,
		"measure":   measure,
	}
}

func setup(env *testscript.Env, templates string) error {
	s := &state{processes: make(map[string]*process), relays: make(map[string]*relay), templates: templates}
	env.Values[stateKey{}] = s
	env.Defer(s.close)
	if err := reservePorts(env); err != nil {
		return err
	}
	return s.expand(env.WorkDir, env.Getenv)
}

// expand copies the templates and replaces $NAME by the script's variables.
func (s *state) expand(to string, variable func(string) string) error {
	files, err := os.ReadDir(s.templates)
	if err != nil {
		return err
	}
	for _, f := range files {
		data, err := os.ReadFile(filepath.Join(s.templates, f.Name()))
		if err != nil {
			return err
		}
		text := os.Expand(string(data), variable)
		if err := os.WriteFile(filepath.Join(to, f.Name()), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (s *state) close() {
	for _, p := range s.processes {
		// One that has ended already needs no signal.
		_ = p.kill()
	}
	for _, r := range s.relays {
		r.Close()
	}
	if s.running {
		<-clusters
	}
}

func stateOf(ts *testscript.TestScript) *state { return ts.Value(stateKey{}).(*state) }

func runOnce(ts *testscript.TestScript, c command, neg bool, args []string) {
	err := c(ts, args)
	if neg && err == nil {
		ts.Fatalf("passed, but ought to fail")
	}
	if !neg && err != nil {
		ts.Fatalf("%v", err)
	}
	if err != nil {
		ts.Logf("%v", err)
	}
}

// eventually repeats a command until it passes: eventually LIMIT COMMAND ARGS.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: eventually LIMIT COMMAND [ARGS]")
	}
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	c, ok := commands()[args[1]]
	if !ok {
		ts.Fatalf("no command %q", args[1])
	}
	ts.Check(repeat(limit, func() error { return c(ts, args[2:]) }))
}

// repeat calls f until it returns nil, for at most limit.
func repeat(limit time.Duration, f func() error) error {
	const pause = 50 * time.Millisecond
	begin := time.Now()
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Since(begin) > limit {
			return fmt.Errorf("not within %s: %w", limit, err)
		}
		time.Sleep(pause)
	}
}

func usage(text string) error { return fmt.Errorf("usage: %s", text) }
