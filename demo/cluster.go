package demo

import (
	"context"
	_ "embed" // settings tree
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/standin"
	"github.com/peridotlock/peridotlock/standin/caller"
	"github.com/peridotlock/peridotlock/standin/loopback"
)

//go:embed settings.yaml
var settingsTree string

//go:embed standin.yaml
var standinConfig string

const (
	probeTimeout  = time.Second
	probeInterval = 50 * time.Millisecond
	logTailBytes  = 4 << 10 // of each daemon's newest output, for error messages
)

// domains holds the failure domains of the entry VMs, one VM in each.
var domains = []fleet.Path{"zavod/kontinent/zagreb-a", "zavod/kontinent/osijek-a", "authority/ga-north/ga-north-a"}

// node is one entry VM, which runs an entry and a scheduler.
type node struct {
	name           string
	domain         fleet.Path
	callers        string
	entryOperators string // address of the entry for operators
	control        string
	operators      string // address of the scheduler for operators
}

// cluster is the stand-ins and the daemons of the demo.
type cluster struct {
	programs Programs
	dir      string // configuration files of the daemons
	platform *standin.Deployment
	nodes    []node
	logs     map[string]*tailBuffer
	group    sync.WaitGroup
	stop     context.CancelFunc
	errs     chan error
}

func newCluster(p Programs) (*cluster, error) {
	dir, err := os.MkdirTemp("", "peridotlock-demo-")
	if err != nil {
		return nil, err
	}
	c := &cluster{programs: p, dir: dir, logs: make(map[string]*tailBuffer), stop: func() {}, errs: make(chan error, 1+2*len(domains))}
	if err := c.build(); err != nil {
		return nil, c.close(err)
	}
	return c, nil
}

func (c *cluster) build() error {
	config, err := standin.Parse("standin.yaml", []byte(standinConfig))
	if err != nil {
		return err
	}
	addrs, err := loopback.Addresses(4 * len(domains))
	if err != nil {
		return err
	}
	for i, d := range domains {
		a := addrs[4*i : 4*i+4]
		n := node{name: d.Name() + "-entry-1", domain: d, callers: a[0], entryOperators: a[1], control: a[2], operators: a[3]}
		c.nodes = append(c.nodes, n)
		config.Entries = append(config.Entries, standin.Entry{
			ID: n.name, FailureDomain: n.domain, Address: n.callers, Control: n.control, Operators: n.operators,
		})
	}
	c.platform, err = standin.New(config)
	return err
}

// start starts the stand-ins, then all daemons. It returns without waiting until
// they are ready.
func (c *cluster) start(ctx context.Context) error {
	ctx, c.stop = context.WithCancel(ctx)
	c.group.Go(func() {
		if err := c.platform.Run(ctx); err != nil {
			c.errs <- err
		}
	})
	for _, n := range c.nodes {
		file, err := c.writeFile(n.name+".yaml", n.config(c.platform.Addresses()))
		if err != nil {
			return err
		}
		c.run(ctx, n.name+" scheduler", c.programs.Scheduler, file)
		c.run(ctx, n.name+" entry", c.programs.Entry, file)
	}
	return nil
}

func (c *cluster) run(ctx context.Context, name string, p Program, file string) {
	log := &tailBuffer{limit: logTailBytes}
	c.logs[name] = log
	c.group.Go(func() {
		code := p(ctx, []string{"--config", file}, log, log)
		if code != 0 || ctx.Err() == nil {
			c.errs <- fmt.Errorf("%s exited with code %d:\n%s", name, code, log)
		}
	})
}

func (n node) config(a standin.Addresses) string {
	return fmt.Sprintf(`name: %s
failure-domain: %s
callers: %s
entry-operators: %s
control: %s
operators: %s
log: [%s]
vms: [%s]
`, n.name, n.domain, n.callers, n.entryOperators, n.control, n.operators, a.Log, a.VMs)
}

// waitReady waits until every daemon reports that it is ready. The error holds the
// newest output of the first daemon that is not ready within limit.
func (c *cluster) waitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, n := range c.nodes {
		if err := c.waitURL(ctx, n.name+" scheduler", "http://"+n.operators+"/readyz"); err != nil {
			return err
		}
		if err := c.waitURL(ctx, n.name+" entry", "http://"+n.entryOperators+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) waitURL(ctx context.Context, name, url string) error {
	client := http.Client{Timeout: probeTimeout}
	for {
		resp, err := client.Get(url)
		if err == nil {
			resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			return nil
		}
		select {
		case err := <-c.errs:
			return err
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready in time:\n%s", name, c.logs[name])
		case <-time.After(probeInterval):
		}
	}
}

// close stops all daemons and the stand-ins and removes the files. It returns err
// joined with the first error of a daemon or stand-in and that of the removal.
func (c *cluster) close(err error) error {
	c.stop()
	c.group.Wait()
	select {
	case daemonErr := <-c.errs:
		err = errors.Join(err, daemonErr)
	default:
	}
	return errors.Join(err, os.RemoveAll(c.dir))
}

func (c *cluster) writeFile(name, text string) (string, error) {
	file := filepath.Join(c.dir, name)
	return file, os.WriteFile(file, []byte(text), 0o600)
}

func (c *cluster) operatorAddresses() []string {
	var out []string
	for _, n := range c.nodes {
		out = append(out, n.operators)
	}
	return out
}

func (c *cluster) callerEntries() []caller.Entry {
	var out []caller.Entry
	for _, n := range c.nodes {
		out = append(out, caller.Entry{Address: n.callers, Ready: "http://" + n.entryOperators + "/readyz"})
	}
	return out
}
