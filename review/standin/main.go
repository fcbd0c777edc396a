// Command standin plays the review's cases: it hosts stand-ins of the platform's store, of
// executors and of consumers on loopback, starts VMs of the project as separate processes,
// and checks a rule.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// playing is one play of a case.
type playing struct {
	rec     *recorder
	trouble bool // the disruption is played
	fleet   *fleet
}

var cases = map[string]func(p *playing) (breaks []string, err error){
	"recur": playRecur,
	"ends":  playEnds,
	"rack":  playRack,
	"gang":  playGang,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(notRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	out := bufio.NewWriter(file)
	p := &playing{rec: &recorder{out: out, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan int, 1)
	go func() { ended <- p.play(cases[os.Args[1]]) }()
	code := notRun
	select {
	case code = <-ended:
	case <-stop:
		p.rec.printf("ended from outside")
	}
	if p.fleet != nil {
		p.fleet.close()
	}
	p.rec.mu.Lock() // no line is half written
	if err := errors.Join(out.Flush(), file.Close()); err != nil {
		code = notRun
	}
	os.Exit(code)
}

func (p *playing) play(f func(p *playing) ([]string, error)) int {
	breaks, err := f(p)
	switch {
	case err != nil:
		p.say("not run: %v", err)
		if !errors.Is(err, errCouldNotRun) {
			p.say("(an error of the stand-ins)")
		}
		return notRun
	case len(breaks) > 0:
		for _, b := range breaks[:min(len(breaks), 5)] {
			p.say("broken: %s", b)
		}
		p.say("the rule was broken %d times", len(breaks))
		return broken
	}
	p.say("the rule held")
	return held
}

func (p *playing) say(format string, args ...any) {
	p.rec.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// begin starts a deployment whose queue has attempts.
func (p *playing) begin(kinds []string, attempts int, behave func(task, spec string) behaviour) error {
	config := fmt.Sprintf(`{"version":7,"routes":[{"name":"r-3hwrr6x","host":%q,"pathPrefix":%q,"type":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,`+
		`"priority":1,"backend":%q,"attempts":%d,"stretch":2.0,"allowedRegions":[]}],`+
		`"services":[{"name":%q,"healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"rejectsOverload":true,"standby":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, host, prefix, service, attempts, service)
	f, err := newFleet(p.rec, config, kinds, behave)
	p.fleet = f
	return err
}

func same(kind string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = kind
	}
	return out
}

// restart ends an executor's life and, after downtime, begins another one that change has
// prepared. The new life writes its entry before it answers.
func (f *fleet) restart(e *executor, downtime time.Duration, change func(e *executor)) {
	all := f.executors
	all.mu.Lock()
	f.rec.printf("%s crashes with %d runs", e.id, len(e.runs))
	old := e.id
	e.crash()
	all.mu.Unlock()
	time.Sleep(downtime)
	all.mu.Lock()
	change(e)
	e.begin()
	f.rec.printf("%s is up at the address of %s, kind %s", e.id, old, e.kind)
	entry, id := e.entry(service), e.id
	f.store.put("servers", id, entry)
	all.mu.Unlock()
	if old != id {
		go func() { // the entry of the life that has ended goes after three intervals of silence
			time.Sleep(3 * heartbeat)
			f.store.put("servers", old, "")
		}()
	}
}

// anotherLife gives an executor a new ID.
func anotherLife(e *executor) {
	e.lives++
	e.id = fmt.Sprintf("%s%d", e.name, e.lives)
}
