// Package standin runs small stand-ins for all services of the platform, for tests
// and for trying the product on one machine.
package standin

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/standin/worker"
)

// anyPort is a loopback address on which the system chooses the port.
const anyPort = "127.0.0.1:0"

// Config describes a deployment of stand-ins.
type Config struct {
	Control      string                `yaml:"control"` // "IP:port" of the control interface: faults, VMs and the ledger
	Log          LogConfig             `yaml:"log"`
	VMs          VMListConfig          `yaml:"vms"`
	Workers      []WorkerGroup         `yaml:"workers"`
	Executors    []ExecutorGroup       `yaml:"executors"`
	Entries      []EntryVM             `yaml:"entries"`
	Interference []worker.Interference `yaml:"interference"`
	Kinds        []worker.Kind         `yaml:"kinds"`
}

// LogConfig describes the log service.
type LogConfig struct {
	Address          string        `yaml:"address"`
	AppendsPerSecond float64       `yaml:"appends-per-second"`
	Retention        time.Duration `yaml:"retention"`
}

// VMListConfig describes the list of VMs.
type VMListConfig struct {
	Address string        `yaml:"address"`
	Lag     time.Duration `yaml:"lag"`
}

// WorkerGroup describes identical workers in one failure domain.
type WorkerGroup struct {
	FailureDomain fleet.Path      `yaml:"failure-domain"`
	Count         int             `yaml:"count"`
	PerRack       int             `yaml:"per-rack"`
	Size          fleet.Resources `yaml:"size"`
	UsageLag      time.Duration   `yaml:"usage-lag"`
}

// ExecutorGroup describes identical executors of one service in one failure
// domain.
type ExecutorGroup struct {
	Service       fleet.Path    `yaml:"service"`
	FailureDomain fleet.Path    `yaml:"failure-domain"`
	Count         int           `yaml:"count"`
	Slots         int           `yaml:"slots"`
	Connections   int           `yaml:"connections"`
	ServiceTime   time.Duration `yaml:"service-time"`
}

// EntryVM is an entry that the list of VMs contains. The deployment does not run
// it.
type EntryVM struct {
	ID            string     `yaml:"id"`
	FailureDomain fleet.Path `yaml:"failure-domain"`
	Address       string     `yaml:"address"`
	Control       string     `yaml:"control"`
	Operators     string     `yaml:"operators"`
}

// Load reads and checks a configuration file. The error is a finding.List.
func Load(file string) (Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Config{}, finding.List{{File: file, Message: err.Error()}}
	}
	return Parse(file, data)
}

// Parse decodes and checks the contents of a configuration file; file is its name
// in findings. The error is a finding.List.
func Parse(file string, data []byte) (Config, error) {
	c := defaultConfig()
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	var findings finding.List
	if err := dec.Decode(&c); err != nil {
		findings = finding.FromYAML(file, err)
	}
	for _, f := range c.check() {
		f.File = file
		findings = append(findings, f)
	}
	return c, findings.Err()
}

func defaultConfig() Config {
	return Config{
		Control: anyPort,
		Log:     LogConfig{Address: anyPort, AppendsPerSecond: 400, Retention: time.Hour},
		VMs:     VMListConfig{Address: anyPort, Lag: 2 * time.Second},
	}
}

func (c Config) check() finding.List {
	var findings finding.List
	checkAddress(&findings, "control", c.Control)
	checkAddress(&findings, "log.address", c.Log.Address)
	checkAddress(&findings, "vms.address", c.VMs.Address)
	if c.Log.AppendsPerSecond <= 0 {
		findings.Addf("log.appends-per-second", "%v is not above 0", c.Log.AppendsPerSecond)
	}
	if c.Log.Retention <= 0 {
		findings.Addf("log.retention", "%v is not above 0", c.Log.Retention)
	}
	for i, g := range c.Workers {
		g.check(&findings, fmt.Sprintf("workers[%d]", i))
	}
	for i, g := range c.Executors {
		g.check(&findings, fmt.Sprintf("executors[%d]", i))
	}
	for i, e := range c.Entries {
		e.check(&findings, fmt.Sprintf("entries[%d]", i))
	}
	return findings
}

func (g WorkerGroup) check(findings *finding.List, path string) {
	checkDomain(findings, path, g.FailureDomain)
	checkCount(findings, path+".count", g.Count)
	checkCount(findings, path+".per-rack", g.PerRack)
	if g.Size.IsZero() || g.Size.IsNegative() {
		findings.Addf(path+".size", "%s is not a valid size", g.Size)
	}
}

func (g ExecutorGroup) check(findings *finding.List, path string) {
	checkDomain(findings, path, g.FailureDomain)
	checkCount(findings, path+".count", g.Count)
	checkCount(findings, path+".slots", g.Slots)
	checkCount(findings, path+".connections", g.Connections)
	if g.Service == "" {
		findings.Addf(path+".service", "is missing")
	}
}

func (e EntryVM) check(findings *finding.List, path string) {
	if e.ID == "" {
		findings.Addf(path+".id", "is missing")
	}
	checkDomain(findings, path, e.FailureDomain)
	checkAddress(findings, path+".address", e.Address)
	checkAddress(findings, path+".control", e.Control)
	checkAddress(findings, path+".operators", e.Operators)
}

func checkDomain(findings *finding.List, path string, p fleet.Path) {
	if p == "" {
		findings.Addf(path+".failure-domain", "is missing")
	}
}

func checkCount(findings *finding.List, path string, n int) {
	if n < 1 {
		findings.Addf(path, "%d is not above 0", n)
	}
}

func checkAddress(findings *finding.List, path, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		findings.Addf(path, "%q is not an IP number and port", addr)
	}
}
