// Command cases-2 plays the scripts of this review: it starts programs of the project as
// separate processes, with the command of the deploy file, beside stand-ins of the platform's
// store, executors and callers on loopback addresses.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/peridotlock/peridotlock/platform/standin"
)

const (
	serviceName = "desk"
	hostName    = "desk.example"
	partitions  = 12
	graceS      = 6
)

// submission is what a caller hands in.
type submission struct {
	ID    string `json:"-"`
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
	// Of a submission with times.
	MaxRuns        int   `json:"maxRuns,omitempty"`
	InitialDelayMs int64 `json:"initialDelayMs,omitempty"`
	IntervalMs     int64 `json:"intervalMs,omitempty"`

	accepted    bool
	acceptAt    time.Time
	cancelledAt time.Time // when its cancel was acknowledged
	seen        []string  // states, each once in a row
	failedEnd   bool      // a run of it has ended failed
	doneTasks   map[string]bool
}

type step struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu"`
	MemMB          int64  `json:"memMb"`
	EstimateMs     int64  `json:"estimateMs"`
	Checkpointable bool   `json:"checkpointable,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	Requires       string `json:"requires,omitempty"`
	DependsOn      []int  `json:"dependsOn,omitempty"`
	LongRunning    bool   `json:"longRunning,omitempty"`
	DataRack       string `json:"affinity,omitempty"`
	MaxPerExecutor int    `json:"antiAffinity,omitempty"`
}

func (s *step) work() time.Duration { return time.Duration(s.EstimateMs) * time.Millisecond }

// world is one play.
type world struct {
	mu        sync.Mutex
	out       io.Writer
	began     time.Time
	store     *standin.Store
	storeAddr string
	executors []*executor
	vms       []*vm
	subs      map[string]*submission
	breaks    []string
	refused   int // appends for their size
	onStart   func(e *executor, r *run)
	onEnd     func(r *run, how string)
	onAck     func(e *executor, x end)
	direct    bool // executors are reached without relays
	// entersAtOnce is set if executors write their entry as soon as they start.
	entersAtOnce bool
	lateShare    float64 // of the starts and stops that get no answer and are carried out late
	dir          string
	client       *http.Client
}

func newWorld(out io.Writer) (*world, error) {
	w := &world{out: out, began: time.Now(), store: standin.NewStore(partitions), subs: map[string]*submission{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(w.serveStore)) // ends with the process
	w.entersAtOnce = os.Getenv("ENTERS_AT_ONCE") != ""
	if w.dir, err = os.MkdirTemp("", "case"); err != nil {
		return nil, err
	}
	go w.advance()
	return w, nil
}

// serveStore counts and records the calls to the store that it refuses for good.
func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	recorder := &statusRecorder{ResponseWriter: rw}
	w.store.ServeHTTP(recorder, r)
	if recorder.status == http.StatusRequestEntityTooLarge {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.refused++
		if w.refused&(w.refused-1) == 0 {
			w.record(fmt.Sprintf("append of %d bytes to %s refused, %d times so far", r.ContentLength, r.URL.Query().Get("topic"), w.refused), nil, "", 0, "")
		}
	}
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// advance lets time pass for the executors.
func (w *world) advance() {
	for {
		w.mu.Lock()
		now := time.Now()
		for _, e := range w.executors {
			e.advance(now)
		}
		w.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// record writes a line of what was sent, answered or run. The caller holds the lock.
func (w *world) record(what string, e *executor, task string, run int, detail string) {
	line := fmt.Sprintf("%8.3f %s", time.Since(w.began).Seconds(), what)
	if e != nil {
		line += " on " + e.id
	}
	if task != "" {
		line += " task " + task
	}
	if run > 0 {
		line += " run " + strconv.Itoa(run)
	}
	if detail != "" {
		line += ": " + detail
	}
	fmt.Fprintln(w.out, line)
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record(fmt.Sprintf(format, args...), nil, "", 0, "")
}

// breach records that the rule was broken. The caller holds the lock.
func (w *world) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.breaks = append(w.breaks, text)
	w.record("RULE BROKEN", nil, "", 0, text)
}

func (w *world) noteStart(e *executor, r *run) {
	if w.onStart != nil {
		w.onStart(e, r)
	}
}

func (w *world) noteEnd(r *run, how string) {
	if how == "failed" {
		r.sub.failedEnd = true
	}
	if how == "done" {
		r.sub.doneTasks[r.task] = true
	}
	if w.onEnd != nil {
		w.onEnd(r, how)
	}
}

// find returns the submission and the step of a task.
func (w *world) find(task string) (*submission, *step) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil
	}
	s := w.subs[parts[0]]
	i, err := strconv.Atoi(parts[2])
	if s == nil || err != nil || i < 0 || i >= len(s.Steps) {
		return nil, nil
	}
	return s, &s.Steps[i]
}

func hash(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// publishConfig writes the operator's configuration with one queue.
func (w *world) publishConfig(attempts int) {
	w.store.Put("op", "config", fmt.Sprintf(`{"version":1,"routes":[{"name":"q","host":%q,"pathPrefix":"/q/","timeoutMs":3000,`+
		`"targetLatencyMs":1000,"backend":%q,"attempts":%d,"stretch":2,"priority":0}],"services":[{"name":%q,"rejectsOverload":true}],"limits":{}}`,
		hostName, serviceName, attempts, serviceName))
}

// vm is one machine of the system: a process of the deploy file's command.
type vm struct {
	name, front, ready string
	root, file         string
	process            *exec.Cmd
}

// Ports of machines are below those that systems take for outgoing connections.
const firstPort, lastPort = 15000, 31000

// freeAddresses returns free addresses, which differ.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue // taken
		}
		defer l.Close()
		if out = append(out, l.Addr().String()); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

const settings = `name: "%s"
failure-domain: "%s"
region: "north"
callers: "%s"
readiness: "%s"
operators: "%s"
metrics: "%s"
peers: "%s"
log: "%s"
advice: ""
partitions: %d
cores: 0.4
bounds:
  config-ms: 2500
  max-lease-ms: 6000
  grace-s: %d
`

// startVM starts a machine with settings like those that the platform fills in.
func (w *world) startVM(root, name, zone string) error {
	a, err := freeAddresses(5)
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, name+".yaml")
	text := fmt.Sprintf(settings, name, zone, a[0], a[1], a[2], a[3], a[4], w.storeAddr, partitions, graceS)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	v := &vm{name: name, front: a[0], ready: a[1], root: root, file: file}
	w.vms = append(w.vms, v)
	return v.start()
}

// start starts the process of the machine.
func (v *vm) start() error {
	log, err := os.OpenFile(strings.TrimSuffix(v.file, ".yaml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.process = exec.Command(filepath.Join(v.root, "target", "peridotlock"))
	v.process.Dir = v.root
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PERIDOTLOCK_CONFIG=" + v.file}
	v.process.Stdout, v.process.Stderr = log, log
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.process.Start()
}

// end sends the process a signal that ends it and waits for that.
func (v *vm) end(s syscall.Signal) {
	v.process.Process.Signal(s)
	v.process.Wait() // its exit code is not judged here
}

// close ends all processes that were started and removes their files.
func (w *world) close() {
	for _, v := range w.vms {
		v.process.Process.Kill()
		v.process.Wait() // it was killed
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs kept in", w.dir)
	}
}

// awaitReady waits until all machines say that they are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if status, _ := w.call(http.MethodGet, "http://"+v.ready+"/api/ready", nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.vms) {
			return nil
		}
	}
	return fmt.Errorf("machines not ready after %v", limit)
}

// call makes one call and returns status 0 if there was no answer.
func (w *world) call(method, url string, body []byte) (status int, answer []byte) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	client := *w.client
	client.Timeout = 3 * time.Second
	reply, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer reply.Body.Close()
	answer, err = io.ReadAll(reply.Body)
	if err != nil {
		return 0, nil
	}
	return reply.StatusCode, answer
}

func (w *world) anyVM() *vm { return w.vms[rand.IntN(len(w.vms))] }

// submit hands a submission in, with the retries of a caller.
func (w *world) submit(steps ...step) *submission {
	s := &submission{Steps: steps}
	w.handIn(s)
	return s
}

func (w *world) handIn(s *submission) {
	s.ID, s.doneTasks = fmt.Sprintf("%016x", rand.Uint64()), map[string]bool{}
	s.Spec = "work of " + s.ID
	body, err := json.Marshal(s)
	if err != nil {
		panic(err) // the types can be encoded
	}
	w.mu.Lock()
	w.subs[s.ID] = s
	w.mu.Unlock()
	for range 4 {
		status, _ := w.call(http.MethodPost, "http://"+w.anyVM().front+"/q/"+s.ID, body)
		w.note("sent POST %s, answered %d", s.ID, status)
		if status/100 == 2 {
			w.mu.Lock()
			s.accepted, s.acceptAt = true, time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// cancel cancels a submission, with retries.
func (w *world) cancel(s *submission) {
	for range 10 {
		status, _ := w.call(http.MethodDelete, "http://"+w.anyVM().front+"/q/"+s.ID, nil)
		w.note("sent DELETE %s, answered %d", s.ID, status)
		if status/100 == 2 || status == http.StatusGone {
			w.mu.Lock()
			s.cancelledAt = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// state asks for the state of a submission.
func (w *world) state(s *submission) string {
	status, answer := w.call(http.MethodGet, "http://"+w.anyVM().front+"/q/"+s.ID, nil)
	var body struct {
		State string `json:"state"`
	}
	state := strconv.Itoa(status)
	if status == http.StatusOK && json.Unmarshal(answer, &body) == nil {
		state = body.State
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(s.seen); n == 0 || s.seen[n-1] != state {
		s.seen = append(s.seen, state)
		w.record(fmt.Sprintf("sent GET %s, answered %s", s.ID, state), nil, "", 0, "")
	}
	return state
}
