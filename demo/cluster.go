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
	probeTimeout = time.Second
	probePause   = 50 * time.Millisecond
	keptLog      = 4 << 10 // bytes of a daemon's newest log lines
)

// domains are the failure domains of the entry VMs.
var domains = []fleet.Path{"zavod/kontinent/zagreb-a", "zavod/kontinent/osijek-a", "authority/ga-north/ga-north-a"}

// node is one entry VM: an entry and a scheduler.
type node struct {
	name    string
	domain  fleet.Path
	callers string
	entry   string // operators' address of the entry
	control string
	sched   string // operators' address of the scheduler
}

// cluster is all that the demo hosts.
type cluster struct {
	programs Programs
	dir      string // files of the daemons
	platform *standin.Deployment
	nodes    []node
	logs     map[string]*tail
	group    sync.WaitGroup
	stop     context.CancelFunc
	ended    chan error
}

func newCluster(p Programs) (*cluster, error) {
	dir, err := os.MkdirTemp("", "peridotlock-demo-")
	if err != nil {
		return nil, err
	}
	c := &cluster{programs: p, dir: dir, logs: make(map[string]*tail), stop: func() {}, ended: make(chan error, 1+2*len(domains))}
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
		n := node{name: d.Name() + "-entry-1", domain: d, callers: a[0], entry: a[1], control: a[2], sched: a[3]}
		c.nodes = append(c.nodes, n)
		config.Entries = append(config.Entries, standin.EntryVM{
			ID: n.name, FailureDomain: n.domain, Address: n.callers, Control: n.control, Operators: n.sched,
		})
	}
	c.platform, err = standin.New(config)
	return err
}

// start starts the stand-ins and then all daemons.
func (c *cluster) start(ctx context.Context) error {
	ctx, c.stop = context.WithCancel(ctx)
	c.group.Go(func() {
		if err := c.platform.Run(ctx); err != nil {
			c.ended <- err
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
	log := &tail{limit: keptLog}
	c.logs[name] = log
	c.group.Go(func() {
		code := p(ctx, []string{"--config", file}, log, log)
		if code != 0 || ctx.Err() == nil {
			c.ended <- fmt.Errorf("%s ended with code %d:\n%s", name, code, log)
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
`, n.name, n.domain, n.callers, n.entry, n.control, n.sched, a.Log, a.VMs)
}

// waitReady waits until every daemon says that it is ready.
func (c *cluster) waitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, n := range c.nodes {
		if err := c.waitURL(ctx, n.name+" scheduler", "http://"+n.sched+"/readyz"); err != nil {
			return err
		}
		if err := c.waitURL(ctx, n.name+" entry", "http://"+n.entry+"/readyz"); err != nil {
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
		case err := <-c.ended:
			return err
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready:\n%s", name, c.logs[name])
		case <-time.After(probePause):
		}
	}
}

// close ends all daemons, then the stand-ins, and removes the files.
func (c *cluster) close(err error) error {
	c.stop()
	c.group.Wait()
	select {
	case ended := <-c.ended:
		err = errors.Join(err, ended)
	default:
	}
	return errors.Join(err, os.RemoveAll(c.dir))
}

func (c *cluster) writeFile(name, text string) (string, error) {
	file := filepath.Join(c.dir, name)
	return file, os.WriteFile(file, []byte(text), 0o600)
}

func (c *cluster) operators() []string {
	var out []string
	for _, n := range c.nodes {
		out = append(out, n.sched)
	}
	return out
}

func (c *cluster) callers() []caller.Entry {
	var out []caller.Entry
	for _, n := range c.nodes {
		out = append(out, caller.Entry{Address: n.callers, Ready: "http://" + n.entry + "/readyz"})
	}
	return out
}
