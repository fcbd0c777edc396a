// Command peridotlock-scheduler places tasks and relays settings on an entry VM.
package main

import (
	"github.com/peridotlock/peridotlock/daemon"
	"github.com/peridotlock/peridotlock/daemon/scheduler"
)

func main() { daemon.Main(scheduler.Run) }
