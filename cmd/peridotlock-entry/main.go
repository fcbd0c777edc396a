// Command peridotlock-entry serves callers on an entry VM.
package main

import (
	"github.com/peridotlock/peridotlock/daemon"
	"github.com/peridotlock/peridotlock/daemon/entry"
)

func main() { daemon.Main(entry.Run) }
