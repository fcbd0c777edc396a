package scenario

import (
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	publishLimit = 30 * time.Second
	published    = "accepted revision="
)

// nodeNames are the entry VMs of the templates, by their last letter.
var nodeNames = []string{"a", "b", "c"}

// startCluster starts the stand-ins and three entry VMs, publishes
// settings.yaml and waits until all are ready: cluster. The daemons are named
// platform, scheduler-a and entry-a, and so on. LOG_A, LOG_B and LOG_C are the
// log's addresses that the VMs use; a script may set them beforehand.
func startCluster(ts *testscript.TestScript, args []string) error {
	if len(args) != 0 {
		return usage("cluster")
	}
	s := stateOf(ts)
	clusters <- struct{}{}
	s.running = true
	if err := s.expand(ts.Getenv("WORK"), ts.Getenv); err != nil {
		return err
	}
	if err := startDaemon(ts, []string{"platform", "peridotlock-standin", "serve", "--file", "standin.yaml"}); err != nil {
		return err
	}
	if err := ready(ts, []string{"platform", "http://" + ts.Getenv("CONTROL") + "/control/ready"}); err != nil {
		return err
	}
	for _, n := range nodeNames {
		if err := startNode(ts, n); err != nil {
			return err
		}
	}
	if err := publishSettings(ts); err != nil {
		return err
	}
	for _, n := range nodeNames {
		if err := waitNode(ts, n); err != nil {
			return err
		}
	}
	return nil
}

func startNode(ts *testscript.TestScript, n string) error {
	config := "node-" + n + ".yaml"
	if err := startDaemon(ts, []string{"scheduler-" + n, "peridotlock-scheduler", "--config", config}); err != nil {
		return err
	}
	return startDaemon(ts, []string{"entry-" + n, "peridotlock-entry", "--config", config})
}

func waitNode(ts *testscript.TestScript, n string) error {
	prefix := strings.ToUpper(n)
	if err := ready(ts, []string{"scheduler-" + n, "http://" + ts.Getenv(prefix+"_OPERATORS") + "/readyz"}); err != nil {
		return err
	}
	return ready(ts, []string{"entry-" + n, "http://" + ts.Getenv(prefix+"_ENTRY") + "/readyz"})
}

// publishSettings repeats the publication under one key until it is accepted.
func publishSettings(ts *testscript.TestScript) error {
	servers := ts.Getenv("SERVERS")
	args := []string{published, "peridotctl", "--server", servers, "settings", "publish", "--key", "first", "settings.yaml"}
	err := repeat(publishLimit, func() error { return checkOutput(ts, args) })
	if err != nil {
		return fmt.Errorf("%w\n%s", err, tail(ts.MkAbs("scheduler-a.err")))
	}
	return nil
}
