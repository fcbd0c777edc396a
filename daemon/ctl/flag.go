package ctl

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// maxLimit is the most items of one answer.
const maxLimit = 1000

// The forms of output.
const (
	outputText = "text"
	outputJSON = "json"
)

func (c *commandLine) check() finding.List {
	var found finding.List
	for _, s := range c.Server {
		if _, err := netip.ParseAddrPort(s); err != nil {
			found.Addf("--server", "%q is not an IP number and port", s)
		}
	}
	if c.Output != outputText && c.Output != outputJSON {
		found.Addf("--output", "%q is neither %s nor %s", c.Output, outputText, outputJSON)
	}
	return found
}

// unknownFlags returns a finding for each flag that no command has, and the
// arguments without these; the parser by itself stops at the first.
func unknownFlags(parser *kong.Kong, args []string) (found finding.List, rest []string) {
	known := map[string]bool{}
	collectFlags(parser.Model.Node, known)
	for i, a := range args {
		if a == "--" {
			return found, append(rest, args[i:]...)
		}
		name, isFlag := strings.CutPrefix(a, "--")
		name, _, _ = strings.Cut(name, "=")
		if isFlag && !known[name] {
			found.Addf("--"+name, "unknown flag")
			continue
		}
		rest = append(rest, a)
	}
	return found, rest
}

func collectFlags(n *kong.Node, known map[string]bool) {
	for _, f := range n.Flags {
		known[f.Name] = true
	}
	for _, child := range n.Children {
		collectFlags(child, known)
	}
}

// outputOf finds the form of output in arguments that could not be parsed.
func outputOf(args []string) string {
	for i, a := range args {
		if a == "--output="+outputJSON || (a == "--output" && i+1 < len(args) && args[i+1] == outputJSON) {
			return outputJSON
		}
	}
	return outputText
}

// branchPath reads a path; a leading slash and the root as "/" are allowed.
func branchPath(text string) fleet.Path { return fleet.Path(strings.Trim(text, "/")) }

// offset reads a revision; an empty text is the present one.
func offset(found *finding.List, flag, text string) platform.Offset {
	if text == "" {
		return query.Present
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < -1 {
		found.Addf(flag, "%q is not a revision", text)
	}
	return platform.Offset(n)
}

func count(found *finding.List, flag, text string, low, high int) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		found.Addf(flag, "%q is not a whole number between %d and %d", text, low, high)
	}
	return n
}

// duration reads a positive time; an empty text is 0.
func duration(found *finding.List, flag, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		found.Addf(flag, "%q is not a duration such as 7s", text)
	}
	return d
}

// The functions below read values that check has passed.

func offsetOf(text string) platform.Offset {
	var passed finding.List
	return offset(&passed, "", text)
}

func countOf(text string) int {
	var passed finding.List
	return count(&passed, "", text, 0, math.MaxInt)
}

func durationOf(text string) time.Duration {
	var passed finding.List
	return duration(&passed, "", text)
}
