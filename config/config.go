// Package config reads the configuration file of a daemon: its name, failure
// domain and addresses. All other settings come from the platform's log.
package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
)

// Node is the configuration file of one VM, which the entry and the scheduler
// share. Addresses are "IP:port".
type Node struct {
	Name              string     `yaml:"name"`
	FailureDomain     fleet.Path `yaml:"failure-domain"`
	Callers           string     `yaml:"callers"`            // entry: callers' address
	EntryOperators    string     `yaml:"entry-operators"`    // entry: metrics, health, readiness
	Control           string     `yaml:"control"`            // scheduler: net/rpc for peers and the entry
	Operators         string     `yaml:"operators"`          // scheduler: operators' HTTP address
	OperatorsToken    string     `yaml:"operators-token"`    // bearer token; empty allows loopback peers only
	Log               []string   `yaml:"log"`                // platform's log service
	VMs               []string   `yaml:"vms"`                // platform's VM list
	TraceEndpoint     string     `yaml:"trace-endpoint"`     // OTLP/HTTP collector; empty for none
	TraceSampleRatio  float64    `yaml:"trace-share"`        // fraction of the traces that are kept, 0..1
	LogVerbosity      int        `yaml:"log-verbosity"`      // 0, 1 or 2
	DrainMilliseconds int        `yaml:"drain-milliseconds"` // time for which the entry reports not ready before it closes its listener
}

// Load reads and checks the file. The error is a finding.List of all problems.
func Load(file string) (Node, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Node{}, finding.List{{File: file, Message: err.Error()}}
	}
	return Parse(file, data)
}

// Parse decodes and checks data, the contents of file. The error is a
// finding.List of all problems.
func Parse(file string, data []byte) (Node, error) {
	n := Node{DrainMilliseconds: 1000}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	var found finding.List
	if err := dec.Decode(&n); err != nil {
		found = finding.FromYAML(file, err)
	}
	found = append(found, withPositions(n.check(file), data)...)
	return n, found.Err()
}

// withPositions sets the line and column of the value that each finding is about,
// or of the document if the key is absent.
func withPositions(found finding.List, data []byte) finding.List {
	var doc yaml.Node
	if yaml.Unmarshal(data, &doc) != nil || len(doc.Content) == 0 {
		return found
	}
	root := doc.Content[0]
	for i := range found {
		found[i].Line = root.Line
		found[i].Column = root.Column
		for k := 0; k+1 < len(root.Content); k += 2 {
			if root.Content[k].Value == found[i].Path {
				found[i].Line = root.Content[k+1].Line
				found[i].Column = root.Content[k+1].Column
			}
		}
	}
	return found
}

func (n Node) check(file string) finding.List {
	var found finding.List
	add := func(path, format string, args ...any) {
		found = append(found, finding.Finding{File: file, Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if n.Name == "" {
		add("name", "is missing")
	}
	if n.FailureDomain == "" {
		add("failure-domain", "is missing")
	}
	if n.TraceSampleRatio < 0 || n.TraceSampleRatio > 1 {
		add("trace-share", "%v is not between 0 and 1", n.TraceSampleRatio)
	}
	for _, a := range n.addresses() {
		if a.value == "" && a.optional {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.path, "%q is not an IP number and port", a.value)
		}
	}
	if len(n.Log) == 0 {
		add("log", "is missing")
	}
	if len(n.VMs) == 0 {
		add("vms", "is missing")
	}
	return found
}

type address struct {
	path, value string
	optional    bool
}

func (n Node) addresses() []address {
	out := []address{
		{path: "callers", value: n.Callers},
		{path: "entry-operators", value: n.EntryOperators},
		{path: "control", value: n.Control},
		{path: "operators", value: n.Operators},
		{path: "trace-endpoint", value: n.TraceEndpoint, optional: true},
	}
	for _, a := range n.Log {
		out = append(out, address{path: "log", value: a})
	}
	for _, a := range n.VMs {
		out = append(out, address{path: "vms", value: a})
	}
	return out
}
