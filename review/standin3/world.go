// Command standin3 plays the scripts of the third review: it hosts stand-ins of the platform's store,
// executors and callers on loopback addresses, starts the scheduler's processes as the deploy file does,
// and judges what callers and executors see.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/peridotlock/peridotlock/platform/standin"
)

const (
	partitions  = 12
	storeAnswer = 4 * time.Millisecond
	host        = "desk.example"
	pathPrefix  = "/q/"
	attempts    = 3
)

// world is one deployment.
type world struct {
	root   string
	dir    string
	out    *os.File
	begin  time.Time
	store  *standin.Store
	vms    []*vm
	execs  []*executor
	judge  *judge
	guards bool
	taken  map[string]bool // addresses of VMs

	mu        sync.Mutex
	subs      map[string]*sub
	gangs     map[string]*gang
	seq       int
	stopping  bool
	version   int                  // of the configuration
	evacuated map[string]time.Time // since when, by zone
}

func (w *world) fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	w.stop()
	os.Exit(2)
}

// record writes a line to record.txt. The caller holds w.mu.
func (w *world) record(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record(format, args...)
}

// zones of a small deployment, and whether the store is in another region.
var zones = []struct {
	name, region string
	far          bool
}{{"ga-north-a", "ga-north", false}, {"ga-south-a", "ga-south", true}, {"ga-north-b", "ga-north", false}}

// usualRack is the number of executors in a rack of a small deployment.
const usualRack = 11

// newWorld starts a store, executors and VMs, and waits until all VMs are ready.
func newWorld(root, record string, vmCount, execCount, rackSize int, kindOf func(int) string) *world {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{root: root, dir: dir, out: out, begin: time.Now(), store: standin.NewStore(partitions), subs: map[string]*sub{}, gangs: map[string]*gang{}, evacuated: map[string]time.Time{}, taken: map[string]bool{}, guards: os.Getenv("GUARDS") != "0"}
	w.judge = newJudge(w)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		w.fatal("stopped")
	}()
	w.version = 1
	w.putConfig(w.version)
	for i := range execCount {
		w.execs = append(w.execs, newExecutor(w, i, zones[i%len(zones)].name, fmt.Sprintf("r%d", i/rackSize), kindOf(i)))
	}
	go func() {
		for range time.Tick(tickInterval) {
			w.mu.Lock()
			for _, e := range w.execs {
				e.advance()
			}
			w.mu.Unlock()
		}
	}()
	for i := range vmCount {
		w.vms = append(w.vms, newVM(w, i))
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, v := range w.vms {
		for !v.ready() {
			if time.Now().After(deadline) {
				w.fatal("%s is not ready after 20 s", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(9 * time.Second) // traffic starts 10 s after the machines
	w.note("traffic starts")
	return w
}

func (w *world) putConfig(version int) {
	w.store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"q0","host":%q,"pathPrefix":%q,"timeoutMs":3000,"targetLatencyMs":1000,`+
		`"priority":1,"backend":%q,"attempts":%d,"stretch":2}],"services":[{"name":%q,"rejectsOverload":%v}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}}`,
		version, host, pathPrefix, serviceName, attempts, serviceName, w.guards))
}

// stop ends all processes that were started.
func (w *world) stop() {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	time.Sleep(restartDelay) // for a restart that has just begun
	for _, v := range w.vms {
		v.stop()
	}
	os.RemoveAll(w.dir)
}

// vm is one VM: a process, and the address at which it reaches the store.
type vm struct {
	w       *world
	name    string
	file    string
	callers string
	ready_  string

	processMu sync.Mutex // protects process and exited
	process   *exec.Cmd
	exited    chan struct{}
	overLimit int // times that the process was killed for its memory; protected by world.mu

	mu        sync.Mutex
	lostShare float64 // of the appends that are done and not answered
	lateShare float64 // of the appends that are done 1 to 6 s later and not answered
	down      bool    // the store answers 503
	silent    bool    // the store does not answer
	slow      time.Duration
}

// loopback is the address of all VMs of this process, so that two plays beside each other share no port.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// freeAddress returns an address whose port is below those of outgoing connections.
func freeAddress(w *world) string {
	for range 1000 {
		address := fmt.Sprintf("%s:%d", loopback, 10000+rand.IntN(20000))
		if w.taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		w.taken[address] = true
		return address
	}
	w.fatal("no free port")
	return ""
}

var placeholder = regexp.MustCompile(`{{([^}]+)}}`)

// newVM renders the template of the deploy file and starts the process.
func newVM(w *world, i int) *vm {
	zone := zones[i%len(zones)]
	v := &vm{w: w, name: fmt.Sprintf("edge-%s-%d", zone.name, 1+i/len(zones)), callers: freeAddress(w), ready_: freeAddress(w)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("listen: %v", err)
	}
	delay := 200 * time.Microsecond
	if zone.far {
		delay = 12 * time.Millisecond
	}
	go (&http.Server{Handler: v.storeHandler(delay)}).Serve(l)
	peers := freeAddress(w)
	_, peerPort, _ := net.SplitHostPort(peers)
	metrics := freeAddress(w)
	_, metricsPort, _ := net.SplitHostPort(metrics)
	values := map[string]string{
		"node": v.name, "zone": zone.name, "region": zone.region, "listen.front": v.callers, "listen.ready": v.ready_, "listen.control": freeAddress(w),
		"ip": loopback, "internalPortRange.0": metricsPort, "internalPortRange.1": peerPort, "platform.address": l.Addr().String(), "advice": "",
		"platform.parts": strconv.Itoa(partitions), "limits.cpuShare": "0.4", "limits.memoryMb": "284", "limits.maxFds": "4100",
		"bounds.configMs": "2500", "bounds.holdMaxMs": strconv.FormatInt(maxLease.Milliseconds(), 10), "bounds.graceS": "6", "bounds.spreadFactor": "2",
		"platform.recordBytes": "262144", "platform.callBytes": "2097152",
	}
	template, err := os.ReadFile(filepath.Join(w.root, "deploy", "vm.yaml.tmpl"))
	if err != nil {
		w.fatal("%v", err)
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		value, ok := values[p[2:len(p)-2]]
		if !ok {
			w.fatal("the template has the unknown placeholder %s", p)
		}
		return value
	})
	v.file = filepath.Join(w.dir, v.name+".yaml")
	if err := os.WriteFile(v.file, []byte(text), 0o600); err != nil {
		w.fatal("%v", err)
	}
	v.start()
	return v
}

func (v *vm) start() {
	out, err := os.OpenFile(filepath.Join(logDir(v.w), v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		v.w.fatal("%v", err)
	}
	defer out.Close()
	p := exec.Command(filepath.Join(v.w.root, "target", "peridotlock"))
	p.Dir = v.w.root
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTLOCK_CONFIG=" + v.file}
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		v.w.fatal("start %s: %v", v.name, err)
	}
	exited := make(chan struct{})
	v.processMu.Lock()
	v.process, v.exited = p, exited
	v.processMu.Unlock()
	go func() {
		p.Wait() // the error of a killed process is expected
		close(exited)
	}()
	go v.limitMemory(p.Process.Pid, exited)
}

const (
	memoryMB       = 284
	memoryInterval = 50 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
)

// limitMemory kills a process that exceeds its memory and starts another one, as the platform does.
func (v *vm) limitMemory(pid int, exited chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
		mb := residentMB(pid)
		if mb <= memoryMB {
			continue
		}
		v.w.mu.Lock()
		if v.w.stopping {
			v.w.mu.Unlock()
			return
		}
		v.overLimit++
		v.w.record("%s has %d MB and is killed", v.name, mb)
		v.w.mu.Unlock()
		v.signal(syscall.SIGKILL)
		<-exited
		time.Sleep(restartDelay)
		v.w.mu.Lock()
		stopping := v.w.stopping
		v.w.mu.Unlock()
		if !stopping {
			v.start()
		}
		return
	}
}

// residentMB returns the resident memory of a process, 0 if it is gone.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// current returns the running process and the channel that is closed at its end.
func (v *vm) current() (*exec.Cmd, chan struct{}) {
	v.processMu.Lock()
	defer v.processMu.Unlock()
	return v.process, v.exited
}

// logDir is where the processes' output goes: the temporary folder, or $LOGS.
func logDir(w *world) string {
	if dir := os.Getenv("LOGS"); dir != "" {
		return dir
	}
	return w.dir
}

func (v *vm) signal(s syscall.Signal) {
	p, _ := v.current()
	p.Process.Signal(s)
}

func (v *vm) stop() {
	p, exited := v.current()
	p.Process.Signal(syscall.SIGCONT)
	p.Process.Signal(syscall.SIGKILL)
	<-exited
}

// restart kills the process and starts it again after a time.
func (v *vm) restart(down time.Duration) {
	v.w.note("kill %s", v.name)
	p, exited := v.current()
	p.Process.Signal(syscall.SIGKILL)
	<-exited
	time.Sleep(down)
	v.start()
	v.w.note("started %s", v.name)
}

// roll stops the process with SIGTERM, kills it after the grace period, and starts it again.
func (v *vm) roll() {
	v.w.note("SIGTERM %s", v.name)
	p, exited := v.current()
	p.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		p.Process.Signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(300 * time.Millisecond)
	v.start()
	v.w.note("started %s", v.name)
}

func (v *vm) ready() bool {
	resp, err := http.Get("http://" + v.ready_ + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// storeHandler serves the store to one VM, with the delay of its zone and its disturbances.
func (v *vm) storeHandler(delay time.Duration) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		v.mu.Lock()
		lost, late, down, silent, slow := v.lostShare, v.lateShare, v.down, v.silent, v.slow
		v.mu.Unlock()
		if down {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(slow)
		isAppend := r.URL.Path == "/api/log-append"
		if !isAppend {
			time.Sleep(delay)
			v.w.store.ServeHTTP(rw, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		serve := func() *httptest.ResponseRecorder {
			again := r.Clone(r.Context())
			again.Body = io.NopCloser(bytes.NewReader(body))
			answer := httptest.NewRecorder()
			v.w.store.ServeHTTP(answer, again)
			return answer
		}
		if late > 0 && rand.Float64() < late {
			time.AfterFunc(time.Second+rand.N(5*time.Second), func() { serve() })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(delay + storeAnswer)
		answer := serve()
		if lost > 0 && rand.Float64() < lost {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(delay)
		rw.WriteHeader(answer.Code)
		rw.Write(answer.Body.Bytes())
	})
}

// callerClient sends the requests of all callers.
var callerClient = &http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// call sends one request of a caller and returns its status, 0 without an answer.
func (w *world) call(v *vm, method, id, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+v.callers+pathPrefix+id, strings.NewReader(body))
	if err != nil {
		w.fatal("%v", err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := callerClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}
