// Package standin hosts small stand-ins of all that the platform provides, for
// tests and for trying the product on one machine.
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

// anyPort is the address that lets the system choose a port.
const anyPort = "127.0.0.1:0"

// Config describes a deployment of stand-ins.
type Config struct {
	Control      string                `yaml:"control"` // "IP:port" of the faults and the ledger
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

// WorkerGroup describes equal workers of one failure domain.
type WorkerGroup struct {
	FailureDomain fleet.Path      `yaml:"failure-domain"`
	Count         int             `yaml:"count"`
	PerRack       int             `yaml:"per-rack"`
	Size          fleet.Resources `yaml:"size"`
	UsageLag      time.Duration   `yaml:"usage-lag"`
}

// ExecutorGroup describes equal executors of one service and failure domain.
type ExecutorGroup struct {
	Service       fleet.Path    `yaml:"service"`
	FailureDomain fleet.Path    `yaml:"failure-domain"`
	Count         int           `yaml:"count"`
	Slots         int           `yaml:"slots"`
	Connections   int           `yaml:"connections"`
	ServiceTime   time.Duration `yaml:"service-time"`
}

// EntryVM is an entry VM that the list tells of; others run it.
type EntryVM struct {
	ID            string     `yaml:"id"`
	FailureDomain fleet.Path `yaml:"failure-domain"`
	Address       string     `yaml:"address"`
	Control       string     `yaml:"control"`
	Operators     string     `yaml:"operators"`
}

// Load reads and checks a file. The error is a finding.List.
func Load(file string) (Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Config{}, finding.List{{File: file, Message: err.Error()}}
	}
	return Parse(file, data)
}

// Parse reads and checks the contents of file.
func Parse(file string, data []byte) (Config, error) {
	c := defaultConfig()
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	var found finding.List
	if err := dec.Decode(&c); err != nil {
		found = finding.FromYAML(file, err)
	}
	for _, f := range c.check() {
		f.File = file
		found = append(found, f)
	}
	return c, found.Err()
}

func defaultConfig() Config {
	return Config{
		Control: anyPort,
		Log:     LogConfig{Address: anyPort, AppendsPerSecond: 400, Retention: time.Hour},
		VMs:     VMListConfig{Address: anyPort, Lag: 2 * time.Second},
	}
}

func (c Config) check() finding.List {
	var found finding.List
	checkAddress(&found, "control", c.Control)
	checkAddress(&found, "log.address", c.Log.Address)
	checkAddress(&found, "vms.address", c.VMs.Address)
	if c.Log.AppendsPerSecond <= 0 {
		found.Addf("log.appends-per-second", "%v is not above 0", c.Log.AppendsPerSecond)
	}
	if c.Log.Retention <= 0 {
		found.Addf("log.retention", "%v is not above 0", c.Log.Retention)
	}
	for i, g := range c.Workers {
		g.check(&found, fmt.Sprintf("workers[%d]", i))
	}
	for i, g := range c.Executors {
		g.check(&found, fmt.Sprintf("executors[%d]", i))
	}
	for i, e := range c.Entries {
		e.check(&found, fmt.Sprintf("entries[%d]", i))
	}
	return found
}

func (g WorkerGroup) check(found *finding.List, path string) {
	checkDomain(found, path, g.FailureDomain)
	checkCount(found, path+".count", g.Count)
	checkCount(found, path+".per-rack", g.PerRack)
	if g.Size.IsZero() || g.Size.IsNegative() {
		found.Addf(path+".size", "%s is not a size", g.Size)
	}
}

func (g ExecutorGroup) check(found *finding.List, path string) {
	checkDomain(found, path, g.FailureDomain)
	checkCount(found, path+".count", g.Count)
	checkCount(found, path+".slots", g.Slots)
	checkCount(found, path+".connections", g.Connections)
	if g.Service == "" {
		found.Addf(path+".service", "is missing")
	}
}

func (e EntryVM) check(found *finding.List, path string) {
	if e.ID == "" {
		found.Addf(path+".id", "is missing")
	}
	checkDomain(found, path, e.FailureDomain)
	checkAddress(found, path+".address", e.Address)
	checkAddress(found, path+".control", e.Control)
	checkAddress(found, path+".operators", e.Operators)
}

func checkDomain(found *finding.List, path string, p fleet.Path) {
	if p == "" {
		found.Addf(path+".failure-domain", "is missing")
	}
}

func checkCount(found *finding.List, path string, n int) {
	if n < 1 {
		found.Addf(path, "%d is not above 0", n)
	}
}

func checkAddress(found *finding.List, path, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		found.Addf(path, "%q is not an IP number and port", addr)
	}
}
