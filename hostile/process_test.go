package hostile

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The machine of the tests: the platform's smallest in memory, with fewer descriptors than any.
const (
	machineMB  = 160
	machineFDs = 500
)

const sampleInterval = 10 * time.Millisecond

// binaries holds the daemons.
var binaries string

func TestMain(m *testing.M) {
	var err error
	if binaries, err = os.MkdirTemp("", "hostile"); err != nil {
		panic(err)
	}
	code := 1
	out, err := exec.Command("go", "build", "-o", binaries, "../cmd/peridotlock", "../cmd/peridotlock-entry").CombinedOutput()
	if err == nil {
		code = m.Run()
	} else {
		fmt.Fprintf(os.Stderr, "%v: %s", err, out)
	}
	os.RemoveAll(binaries)
	os.Exit(code)
}

// freeAddress returns an address for a daemon. The crowd's own ends have another loopback address,
// so that none of them takes the port before the daemon does.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.77.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// process is a daemon that is killed as soon as it uses more memory than its machine has, as
// the platform does.
type process struct {
	t       *testing.T
	command *exec.Cmd
	log     string
	ports   map[string]bool // on which it listens, in the notation of /proc/net/tcp
	exited  chan struct{}
	stop    chan struct{}
	sampled chan struct{}

	// Peaks, set by sample.
	memoryBytes int64 // resident, and received but not read
	descriptors int
}

// start starts a daemon with a settings file. Addresses are those on which it listens.
func start(t *testing.T, daemon, settings string, addresses ...string) *process {
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, log: filepath.Join(dir, "log"), ports: map[string]bool{},
		exited: make(chan struct{}), stop: make(chan struct{}), sampled: make(chan struct{})}
	for _, a := range addresses {
		_, port, _ := net.SplitHostPort(a)
		n, _ := strconv.Atoi(port)
		p.ports[fmt.Sprintf("%04X", n)] = true
	}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.command = exec.Command(filepath.Join(binaries, daemon), "--config", file)
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		p.command.Wait() // the error of a killed process is expected
	}()
	go p.sample()
	t.Cleanup(func() {
		close(p.stop)
		p.command.Process.Signal(syscall.SIGKILL)
		<-p.exited
	})
	return p
}

func (p *process) path(file string) string {
	return fmt.Sprintf("/proc/%d/%s", p.command.Process.Pid, file)
}

// sample records peaks until the process or the test ends, and kills the process if it
// exceeds the memory of its machine.
func (p *process) sample() {
	defer close(p.sampled)
	for {
		select {
		case <-p.stop:
			return
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
		memory := max(p.statusBytes("VmRSS")+p.unreadBytes(), p.statusBytes("VmHWM"))
		p.memoryBytes = max(p.memoryBytes, memory)
		if entries, err := os.ReadDir(p.path("fd")); err == nil {
			p.descriptors = max(p.descriptors, len(entries))
		}
		if p.memoryBytes > machineMB<<20 {
			p.command.Process.Signal(syscall.SIGKILL)
			return
		}
	}
}

// statusBytes returns a size in /proc/PID/status, or 0 if the process has ended.
func (p *process) statusBytes(name string) int64 {
	text, err := os.ReadFile(p.path("status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// unreadBytes returns the bytes that the process's connections have received and not read.
func (p *process) unreadBytes() (sum int64) {
	file, err := os.Open(p.path("net/tcp"))
	if err != nil {
		return 0
	}
	defer file.Close()
	const listening = "0A"
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, unread, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(unread, 16, 64); err == nil && p.ports[port] {
			sum += n
		}
	}
	return sum
}

// check stops sampling and reports whether the process lives and what it used.
func (p *process) check() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Errorf("process ended")
		p.printLog()
	default:
		p.command.Process.Signal(syscall.SIGKILL)
	}
	<-p.sampled
	p.t.Logf("memory %d MB of %d, %d descriptors of %d", p.memoryBytes>>20, machineMB, p.descriptors, machineFDs)
	if p.memoryBytes > machineMB<<20 {
		p.t.Errorf("memory of %d MB, want at most %d", p.memoryBytes>>20, machineMB)
	}
	if p.descriptors > machineFDs {
		p.t.Errorf("%d descriptors, want at most %d", p.descriptors, machineFDs)
	}
}

// printLog prints the last lines of the process's output.
func (p *process) printLog() {
	const lastLines = 20
	if text, err := os.ReadFile(p.log); err == nil {
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		p.t.Log(strings.Join(lines[max(0, len(lines)-lastLines):], "\n"))
	}
}
