// Command peridotlock-load loads entries and checks every answer.
package main

import (
	"github.com/peridotlock/peridotlock/daemon"
	"github.com/peridotlock/peridotlock/daemon/load"
)

func main() { daemon.Main(load.Run) }
