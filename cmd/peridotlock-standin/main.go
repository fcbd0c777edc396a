// Command peridotlock-standin stands in for the platform on one machine.
package main

import (
	"github.com/peridotlock/peridotlock/daemon"
	"github.com/peridotlock/peridotlock/daemon/standin"
)

func main() { daemon.Main(standin.Run) }
