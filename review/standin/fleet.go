package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, in seconds from the start.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

const (
	service   = "huvo11a"
	host      = "nony24.example"
	prefix    = "/lohu930/"
	heartbeat = 1100 * time.Millisecond // between two entries of an executor
	channels  = 64                      // that an executor serves at a time
)

// settings is deploy/vm.yaml.tmpl with the values of a small deployment.
const settings = `name: "edge-%[1]s-1"
failure-domain: "%[1]s"
region: "ga-north"
callers: "%[2]s"
readiness: "%[3]s"
operators: "%[4]s"
metrics: "%[5]s"
peers: "%[6]s"
log: "%[7]s"
advice: ""
partitions: 12
cores: 0.4
bounds:
  config-ms: 2500
  max-lease-ms: 6000
  grace-s: 6
`

var zones = []string{"ga-north-a", "ga-south-a", "ga-north-b"}

// fleet is a small deployment: a store, executors and VMs, each of which is a process of the
// project.
type fleet struct {
	rec       *recorder
	store     *store
	executors *executors
	proxies   []*proxy
	vms       []*vm
	dir       string
	cancel    context.CancelFunc
	ctx       context.Context
}

type vm struct {
	name, file, callers, ready string
	process                    *exec.Cmd
	log                        *os.File
}

var errCouldNotRun = errors.New("the case could not run")

// newFleet starts a store, executors of the given kinds, and three VMs.
func newFleet(rec *recorder, config string, kinds []string, behave func(task, spec string) behaviour) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, store: newStore(12), executors: newExecutors(rec, behave), dir: dir}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(l, f.store)
	f.store.put("op", "config", config)
	for i, kind := range kinds {
		e := f.executors.add(i, zones[i%len(zones)], kind)
		el, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go (&http.Server{Handler: e}).Serve(el)
		p, err := newProxy(el.Addr().String())
		if err != nil {
			return nil, err
		}
		e.address = p.address
		f.proxies = append(f.proxies, p)
		go f.register(e)
	}
	for _, zone := range zones {
		v, err := f.newVM(zone, l.Addr().String())
		if err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	return f, f.awaitReady()
}

// register writes the executor's entry now and after each heartbeat while it is up.
func (f *fleet) register(e *executor) {
	for f.ctx.Err() == nil {
		f.writeEntry(e)
		time.Sleep(heartbeat)
	}
}

func (f *fleet) writeEntry(e *executor) {
	f.executors.mu.Lock()
	down, id, entry := e.down, e.id, e.entry(service)
	f.executors.mu.Unlock()
	if !down {
		f.store.put("servers", id, entry)
	}
}

// freeAddress returns an address at which nothing listens, with a port below those that the
// system gives to outgoing channels.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(10000))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("%w: no free port", errCouldNotRun)
}

func (f *fleet) newVM(zone, log string) (*vm, error) {
	var a [5]string
	for i := range a {
		var err error
		if a[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	v := &vm{name: "edge-" + zone + "-1", file: filepath.Join(f.dir, zone+".yaml"), callers: a[0], ready: a[1]}
	text := fmt.Sprintf(settings, zone, a[0], a[1], a[2], a[3], a[4], log)
	if err := os.WriteFile(v.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return v, f.startVM(v)
}

// startVM starts the command of the deploy file in the root of the repository.
func (f *fleet) startVM(v *vm) error {
	out, err := os.OpenFile(filepath.Join(f.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.log = out
	v.process = exec.Command("target/peridotlock")
	v.process.Env = append(os.Environ(), "PERIDOTLOCK_CONFIG="+v.file)
	v.process.Stdout, v.process.Stderr = out, out
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCouldNotRun, err)
	}
	f.rec.printf("%s started", v.name)
	return nil
}

func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range f.vms {
		for {
			r, err := http.Get("http://" + v.ready + "/api/ready")
			if err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errCouldNotRun, v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.printf("all VMs are ready")
	return nil
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.cancel()
	for _, v := range f.vms {
		if v.process != nil && v.process.Process != nil {
			v.process.Process.Kill()
			v.process.Wait() // killed
			v.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// call sends a consumer's request to a VM and records it with its answer. A status of 0 stands
// for none.
func (f *fleet) call(v *vm, method, path, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.callers+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the arguments are wrong
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(r)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		status, answer = resp.StatusCode, string(b)
	}
	if err != nil {
		status, answer = 0, err.Error()
	}
	f.rec.printf("%s %s at %s: %d %s", method, path, v.name, status, answer)
	return status, answer
}

// submit hands a submission in, again at the next VM while it isn't accepted.
func (f *fleet) submit(id, body string) error {
	for i := range 8 {
		status, _ := f.call(f.vms[i%len(f.vms)], http.MethodPost, prefix+id, body)
		switch {
		case status/100 == 2:
			return nil
		case status == http.StatusBadRequest:
			return fmt.Errorf("%w: submission %s is refused", errCouldNotRun, id)
		}
		time.Sleep(700 * time.Millisecond)
	}
	return fmt.Errorf("%w: submission %s is not accepted", errCouldNotRun, id)
}

// state asks for the state of a submission.
func (f *fleet) state(v *vm, id string) string {
	status, answer := f.call(v, http.MethodGet, prefix+id, "")
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}

// await asks for a submission's state each 500 ms until it is final or the time is over.
func (f *fleet) await(id string, limit time.Duration) string {
	deadline := time.Now().Add(limit)
	for i := 0; ; i++ {
		s := f.state(f.vms[i%len(f.vms)], id)
		if s == "completed" || s == "failed" || s == "cancelled" || time.Now().After(deadline) {
			return s
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// proxy forwards the channels to an executor, at most channels of them at a time. While it is
// cut, nothing passes; what a sender sent before it gave its channel up is lost.
type proxy struct {
	address, target string
	mu              sync.Mutex
	healed          chan struct{} // closed when the cut ends; nil without one
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target}
	slots := make(chan struct{}, channels)
	go func() {
		for {
			slots <- struct{}{}
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				p.serve(c)
				<-slots
			}()
		}
	}()
	return p, nil
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
	p.healed = nil
}

func (p *proxy) state() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healed
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	executor, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer executor.Close()
	gone := make(chan struct{}) // the client has given the channel up
	done := make(chan struct{}, 2)
	go func() {
		p.copy(executor, client, gone, true)
		done <- struct{}{}
	}()
	go func() {
		p.copy(client, executor, gone, false)
		done <- struct{}{}
	}()
	<-done
}

// copy forwards from one side to the other. It goes on reading during a cut, to see whether
// the client gives the channel up, and forwards what it has read once the cut ends.
func (p *proxy) copy(to, from net.Conn, gone chan struct{}, fromClient bool) {
	type piece struct{ b []byte }
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{b[:n]}
			}
			if err != nil {
				if fromClient {
					close(gone)
				}
				return
			}
		}
	}()
	for piece := range pieces {
		if healed := p.state(); healed != nil {
			select {
			case <-healed:
			case <-gone:
				return
			}
		}
		if _, err := to.Write(piece.b); err != nil {
			return
		}
	}
}
