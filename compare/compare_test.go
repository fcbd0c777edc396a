package compare

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// setup is two checkouts beside each other and a fake bench.
type setup struct {
	root     string
	old, new string
	bench    Bench
	site     Site
}

func newSetup(t *testing.T) *setup {
	t.Helper()
	root := t.TempDir()
	bench, err := filepath.Abs("testdata/fakebench")
	if err != nil {
		t.Fatal(err)
	}
	s := &setup{
		root: root, old: filepath.Join(root, "old"), new: filepath.Join(root, "new"),
		bench: Bench{Path: bench, Why: "a test", TimeLimit: time.Minute},
		site:  Site{Name: "quay", Path: "/sites/quay.toml"},
	}
	s.write(t, "old/worth", "0.75")
	s.write(t, "new/worth", "0.5")
	return s
}

func (s *setup) write(t *testing.T, name, content string) {
	t.Helper()
	path := filepath.Join(s.root, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

func (s *setup) read(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(s.root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func (s *setup) day(name string) Day { return Day{Site: s.site, Name: name, Arg: name} }

func (s *setup) options(seeds []uint64, parallel int, days ...string) Options {
	o := Options{Bench: s.bench, Old: s.old, New: s.new, Seeds: seeds, Parallel: parallel}
	for _, d := range days {
		o.Days = append(o.Days, s.day(d))
	}
	return o
}

func (s *setup) report(o Options, plays []Play) Report { return NewReport("a", "b", o.Seeds, plays) }

func TestReadSite(t *testing.T) {
	Convey("Given site files", t, func() {
		dir := t.TempDir()
		read := func(content string) (Site, error) {
			path := filepath.Join(dir, "quay.toml")
			So(os.WriteFile(path, []byte(content), 0o644), ShouldBeNil)
			return ReadSite(path)
		}
		Convey("The standard days are the names of the days only", func() {
			s, err := read(`name = "harbour"
classes = [ { name = "c" } ]
[net]
name = "n"
[[day]]
name = "quiet-1"
faults = [ { kind = "burst", name = "x" } ]
[[day]]
slot = "trouble"
name = "trouble-1"
`)
			So(err, ShouldBeNil)
			So(s.Name, ShouldEqual, "harbour")
			So(s.Path, ShouldEqual, filepath.Join(dir, "quay.toml"))
			So(s.Days, ShouldResemble, []string{"quiet-1", "trouble-1"})
		})
		Convey("A site without a name is called like its file", func() {
			s, err := read("")
			So(err, ShouldBeNil)
			So(s.Name, ShouldEqual, "quay")
			So(s.Days, ShouldBeEmpty)
		})
		Convey("A day without a name and a file that is not TOML are errors", func() {
			_, err := read("[[day]]\nname = \"a\"\n[[day]]\nseed = 1\n")
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "day 2 of 2 has no name")
			_, err = read("name = ")
			So(err, ShouldNotBeNil)
			_, err = ReadSite(filepath.Join(dir, "missing.toml"))
			So(errors.Is(err, os.ErrNotExist), ShouldBeTrue)
		})
	})
}

func TestDays(t *testing.T) {
	Convey("Given two sites and day files", t, func() {
		dir := t.TempDir()
		for _, name := range []string{"b.toml", "a.toml", "notes.txt"} {
			So(os.WriteFile(filepath.Join(dir, name), nil, 0o644), ShouldBeNil)
		}
		files, err := DayFiles(dir)
		So(err, ShouldBeNil)
		So(files, ShouldResemble, []string{filepath.Join(dir, "a.toml"), filepath.Join(dir, "b.toml")})
		one, two := Site{Name: "one", Days: []string{"quiet-1", "a"}}, Site{Name: "two"}
		names := func(days []Day) (names []string) {
			for _, d := range days {
				names = append(names, fmt.Sprintf("%s %s %s", d.Site.Name, d.Name, strings.TrimPrefix(d.Arg, dir)))
			}
			return names
		}
		Convey("Each site has its standard days and all files", func() {
			days := Days([]Site{one, two}, files, nil)
			So(names(days), ShouldResemble, []string{
				"one quiet-1 quiet-1", "one a a", "one a /a.toml", "one b /b.toml", "two a /a.toml", "two b /b.toml",
			})
			So(days[1].File, ShouldBeFalse)
			So(days[2].File, ShouldBeTrue)
		})
		Convey("The filter looks at the names", func() {
			days := Days([]Site{one, two}, files, regexp.MustCompile("^(quiet|b)"))
			So(names(days), ShouldResemble, []string{"one quiet-1 quiet-1", "one b /b.toml", "two b /b.toml"})
		})
		Convey("A directory without day files is an error", func() {
			_, err := DayFiles(t.TempDir())
			So(err, ShouldNotBeNil)
		})
	})
}

func TestOutput(t *testing.T) {
	const text = `built in 2.1 s; 37788 lines in 350 files
   5.0 vm-1 time=T level=INFO msg=start task=a run=1
   5.1 vm-1 time=T level=INFO msg=lost task=a run=1 detail="not sent"
   5.2 vm-2 time=T level=DEBUG msg=lost task=b run=1 detail="msg=lost"
   5.3 vm-2 time=T level=INFO msg="dependency lost" dependency=store
   5.4 vm-2 time=T level=INFO msg=end task=c detail=" level=INFO msg=lost "
   5.5 vm-2 time=T level=INFO msg="log lines suppressed" kind=lost count=17
   5.6 vm-2 time=T level=INFO msg="log lines suppressed" kind=start count=1000

day own/srv msg=lost worth
   6.0 vm-1 time=T level=INFO msg=lost`
	Convey("Given the output of a play", t, func() {
		Convey("Lost runs are counted however it is cut", func() {
			for _, size := range []int{1, 2, 7, 64, len(text)} {
				var o output
				for rest := []byte(text); len(rest) > 0; {
					n, err := o.Write(rest[:min(size, len(rest))])
					So(err, ShouldBeNil)
					rest = rest[n:]
				}
				o.close()
				So(o.lostRuns, ShouldEqual, 2+17+1)
				So(o.lastLines(), ShouldEqual, "built in 2.1 s; 37788 lines in 350 files | day own/srv msg=lost worth")
				So(o.misfit, ShouldBeEmpty)
			}
		})
		Convey("Only the bench's message of a missing part is one of a day that does not fit", func() {
			for line, misfit := range map[string]bool{
				"fleetbench: poison: no class @c7":                                 true,
				"fleetbench: zone_cut: no zone @z9":                                true,
				"fleetbench: srv_flap: contract health is not open":                true,
				"fleetbench: /d.toml: No such file or directory (os error 2)":      false,
				"fleetbench: the day can't be read: unknown variant `nokind`":      false,
				"fleetbench: no day trouble-9; there are quiet-1":                  false,
				" 5.1 vm-1 time=T level=INFO msg=end detail=\"x: poison: no way\"": false,
			} {
				var o output
				fmt.Fprintln(&o, line)
				So(o.misfit != "", ShouldEqual, misfit)
			}
		})
		Convey("Neither long lines nor many lines stay in memory", func() {
			var o output
			long := bytes.Repeat([]byte("x"), 1<<20)
			for range 16 {
				_, _ = o.Write(long)
			}
			So(cap(o.line), ShouldBeLessThanOrEqualTo, 2*maxLineBytes)
			for i := range 100_000 {
				fmt.Fprintf(&o, "\nline %d", i)
			}
			o.close()
			So(len(o.tail), ShouldEqual, maxTailLines)
			So(cap(o.tail), ShouldBeLessThanOrEqualTo, 2*maxTailLines)
			So(o.lastLines(), ShouldEqual, "line 99997 | line 99998 | line 99999")
		})
	})
}

func TestPlay(t *testing.T) {
	Convey("Given a checkout and a bench", t, func() {
		s := newSetup(t)
		play := func(day string) Play { return s.bench.Play(context.Background(), s.old, s.day(day), 3) }
		Convey("A play has worth, broken rules and lost runs", func() {
			s.write(t, "old/breaks", "")
			p := play("breaking")
			So(p.Status, ShouldEqual, Played)
			So(*p.Worth, ShouldEqual, 0.75)
			So(p.Rules, ShouldResemble, map[string]int{"LOST": 2, "BUDGET": 1})
			So(*p.Lost, ShouldEqual, 3)
			So(p.Outcome(), ShouldEqual, "worth 0.750, rules broken BUDGET 1, LOST 2, 3 lost runs")
		})
		Convey("The bench runs in the checkout with one job and all options", func() {
			s.bench.NoCPU = true
			play("calm")
			call := s.read(t, "old/calls")
			So(call, ShouldStartWith, "run /sites/quay.toml calm --seed 3 --jobs 1 --log all --report ")
			So(call, ShouldEndWith, " --why a test --no-cpu\n")
		})
		Convey("A play without a result says why and has no figures", func() {
			for day, want := range map[string]struct {
				status Status
				detail string
			}{
				"silent":     {NoResult, "the bench wrote no report"},
				"foreign":    {NotFitting, "fakebench: poison: no class @c7"},
				"failing":    {Failed, "exit status 3: fakebench: too busy"},
				"unreadable": {NoResult, "report of 10 bytes: unexpected end of JSON input"},
				"worthless":  {NoResult, "report of 26 bytes has no worth"},
				"faulty":     {NoResult, "the report has a fault: a process did not start"},
			} {
				p := play(day)
				So(p.Status, ShouldEqual, want.status)
				So(p.Detail, ShouldEqual, want.detail)
				So(p.Worth, ShouldBeNil)
				So(p.Lost, ShouldBeNil)
			}
		})
		Convey("A bench that does not exist is a failed play", func() {
			s.bench.Path = filepath.Join(s.root, "nothing")
			So(play("calm").Status, ShouldEqual, Failed)
		})
		Convey("A play over its time limit ends with all of its processes", func() {
			s.bench.TimeLimit, s.bench.StopGrace = 2*time.Second, 100*time.Millisecond
			p := play("hanging")
			So(p.Status, ShouldEqual, TimedOut)
			So(p.Detail, ShouldEqual, "not finished after 2s")
			So(s.sleepersLeft(t), ShouldEqual, 0)
		})
		Convey("An interrupted play ends with all of its processes", func() {
			s.bench.StopGrace = 100 * time.Millisecond
			ctx := s.untilSleepers(t, 1)
			p := s.bench.Play(ctx, s.old, s.day("hanging"), 1)
			So(p.Status, ShouldEqual, Interrupted)
			So(s.sleepersLeft(t), ShouldEqual, 0)
		})
	})
}

// untilSleepers returns a context that ends when n hanging plays sleep, or with the test.
func (s *setup) untilSleepers(t *testing.T, n int) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			data, err := os.ReadFile(filepath.Join(s.root, "sleepers"))
			if err == nil && bytes.Count(data, []byte("\n")) == n {
				cancel()
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return ctx
}

// sleepersLeft returns how many of the sleeping processes of hanging plays run on
// after a moment. Ended ones may wait for an init process to reap them.
func (s *setup) sleepersLeft(t *testing.T) int {
	t.Helper()
	pids := strings.Fields(s.read(t, "sleepers"))
	So(pids, ShouldNotBeEmpty)
	left := 0
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		left = 0
		for _, text := range pids {
			pid, err := strconv.Atoi(text)
			So(err, ShouldBeNil)
			stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
			if err == nil && !strings.Contains(string(stat), ") Z ") && !errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) {
				left++
			}
		}
		if left == 0 {
			return 0
		}
	}
	return left
}

func TestRun(t *testing.T) {
	Convey("Given two checkouts", t, func() {
		s := newSetup(t)
		Convey("All days are played on both builds with all seeds, in the order of the days", func() {
			o := s.options([]uint64{1, 2}, 3, "calm", "busy")
			var progress []string
			o.Progress = func(done, total int, _ Play) { progress = append(progress, fmt.Sprintf("%d/%d", done, total)) }
			plays, err := Run(context.Background(), o)
			So(err, ShouldBeNil)
			var got []string
			for _, p := range plays {
				got = append(got, fmt.Sprintf("%s %d %s %.2f %d", p.Day, p.Seed, p.Build, *p.Worth, *p.Lost))
			}
			So(got, ShouldResemble, []string{
				"calm 1 old 0.75 1", "calm 1 new 0.50 1", "busy 1 old 0.75 1", "busy 1 new 0.50 1",
				"calm 2 old 0.75 2", "calm 2 new 0.50 2", "busy 2 old 0.75 2", "busy 2 new 0.50 2",
			})
			So(progress, ShouldResemble, []string{"1/8", "2/8", "3/8", "4/8", "5/8", "6/8", "7/8", "8/8"})
			So(s.read(t, "old/built")+s.read(t, "new/built"), ShouldEqual, "build\nbuild\n")
			So(strings.Count(s.read(t, "old/calls"), "\n"), ShouldEqual, 4)
		})
		Convey("Plays at a time stay within the bound and reach it", func() {
			for _, parallel := range []int{1, 3} {
				So(os.RemoveAll(filepath.Join(s.root, "events")), ShouldBeNil)
				_, err := Run(context.Background(), s.options([]uint64{1, 2}, parallel, "slow", "slow", "slow"))
				So(err, ShouldBeNil)
				So(maxRunning(s.read(t, "events")), ShouldEqual, parallel)
			}
		})
		Convey("A checkout that does not build is an error that names it", func() {
			s.write(t, "new/broken", "")
			_, err := Run(context.Background(), s.options([]uint64{1}, 1, "calm"))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, s.new)
			So(err.Error(), ShouldContainSubstring, "does not compile")
		})
		Convey("An interrupt ends the plays in progress and keeps the results", func() {
			s.bench.StopGrace = 100 * time.Millisecond
			o := s.options([]uint64{1}, 2, "calm", "hanging", "busy")
			plays, err := Run(s.untilSleepers(t, 2), o)
			So(err, ShouldBeNil)
			var got []Status
			for _, p := range plays {
				got = append(got, p.Status)
			}
			So(got, ShouldResemble, []Status{Played, Played, Interrupted, Interrupted, NotStarted, NotStarted})
			So(s.sleepersLeft(t), ShouldEqual, 0)
			r := s.report(o, plays)
			So(r.Complete(), ShouldBeFalse)
			So(r.Days, ShouldHaveLength, 1)
			So(r.Days[0].Day, ShouldEqual, "calm")
			var text strings.Builder
			So(r.WriteText(&text), ShouldBeNil)
			So(text.String(), ShouldContainSubstring, "no result: quay hanging, seed 1, old: interrupted\n")
			So(text.String(), ShouldEndWith, "6 plays, 2 not started\n")
		})
	})
}

// maxRunning returns the largest number of plays that ran at once.
func maxRunning(events string) int {
	running, most := 0, 0
	for _, e := range strings.Fields(events) {
		if e == "+" {
			running++
		} else {
			running--
		}
		most = max(most, running)
	}
	return most
}

// result returns a play with a result.
func result(day string, seed uint64, build string, worth float64, lost int, rules map[string]int) Play {
	return Play{Site: "quay", Day: day, Seed: seed, Build: build, Status: Played, Worth: &worth, Lost: &lost, Rules: rules}
}

func dayNames(r Report) (names []string) {
	for _, row := range r.Days {
		names = append(names, row.Day)
	}
	return names
}

func TestReportOrder(t *testing.T) {
	Convey("Given days with different results", t, func() {
		lost := map[string]int{"LOST": 1}
		plays := []Play{
			result("same", 1, OldBuild, 0.5, 1, nil), result("same", 1, NewBuild, 0.5, 1, nil),
			result("better", 1, OldBuild, 0.5, 1, nil), result("better", 1, NewBuild, 0.9, 1, nil),
			result("worse", 1, OldBuild, 0.9, 1, nil), result("worse", 1, NewBuild, 0.5, 1, nil),
			result("mended", 1, OldBuild, 0.9, 1, lost), result("mended", 1, NewBuild, 0.7, 1, nil),
			result("broken", 1, OldBuild, 0.5, 1, nil), result("broken", 1, NewBuild, 0.8, 1, lost),
			result("more-lost", 1, OldBuild, 0.5, 1, nil), result("more-lost", 1, NewBuild, 0.5, 2, nil),
		}
		Convey("Newly broken rules come first, then the worst difference of worth, then lost runs", func() {
			So(dayNames(NewReport("a", "b", nil, plays)), ShouldResemble,
				[]string{"broken", "worse", "mended", "more-lost", "same", "better"})
		})
	})
}

func TestReportMeans(t *testing.T) {
	Convey("Given plays of three seeds, one of which has no result on the new build", t, func() {
		plays := []Play{
			result("a", 1, OldBuild, 0.8, 10, nil), result("a", 1, NewBuild, 0.7, 20, map[string]int{"LOST": 2}),
			result("a", 2, OldBuild, 0.6, 20, nil), result("a", 2, NewBuild, 0.2, 40, nil),
			result("a", 3, OldBuild, 0.1, 99, nil),
			{Site: "quay", Day: "a", Seed: 3, Build: NewBuild, Status: NoResult, Detail: "the bench wrote no report"},
			result("b", 1, OldBuild, 0.5, 0, nil),
			{Site: "quay", Day: "b", Seed: 1, Build: NewBuild, Status: TimedOut, Detail: "not finished after 1m0s"},
			{Site: "quay", Day: "c", Seed: 1, Build: OldBuild, Status: NotFitting, Detail: "x: poison: no class @c7"},
			{Site: "quay", Day: "c", Seed: 1, Build: NewBuild, Status: NotFitting, Detail: "x: poison: no class @c7"},
		}
		r := NewReport("a1", "b2", []uint64{1, 2, 3}, plays)
		Convey("The means are over the seeds with both results", func() {
			So(dayNames(r), ShouldResemble, []string{"a"})
			row := r.Days[0]
			So(row.Paired, ShouldEqual, 2)
			So(row.Old.Worth, ShouldAlmostEqual, 0.7, 1e-12)
			So(row.New.Worth, ShouldAlmostEqual, 0.45, 1e-12)
			So(row.Difference, ShouldAlmostEqual, -0.25, 1e-12)
			So(row.Old.Lost, ShouldEqual, 15)
			So(row.New.Lost, ShouldEqual, 30)
			So(row.New.Rules, ShouldResemble, map[string]float64{"LOST": 1})
			So(row.New.Broken, ShouldEqual, 1)
			So(row.Worst.Seed, ShouldEqual, 2)
			So(row.Worst.Difference, ShouldAlmostEqual, -0.4, 1e-12)
			So(r.Total.Paired, ShouldEqual, 2)
			So(r.Total.Difference, ShouldAlmostEqual, -0.25, 1e-12)
		})
		Convey("The text names what is missing and shows no zero for it", func() {
			var text strings.Builder
			So(r.WriteText(&text), ShouldBeNil)
			So(text.String(), ShouldEqual, `old a1, new b2; seeds 1 2 3

site  day     pairs  old    new    difference  worst seed  rules old  rules new  lost old  lost new
quay  a       2      0.700  0.450  -0.250      2: -0.400   -          LOST 1     15.0      30.0
mean  1 days  2      0.700  0.450  -0.250                  -          LOST 1     15.0      30.0
not played: quay c: x: poison: no class @c7
no result: quay a, seed 3, new: no result: the bench wrote no report
no result: quay b, seed 1, new: time limit: not finished after 1m0s
10 plays, 0 not started
`)
			So(r.Complete(), ShouldBeFalse)
		})
		Convey("The JSON holds the same, and no figures of plays without a result", func() {
			var data bytes.Buffer
			So(r.WriteJSON(&data), ShouldBeNil)
			var back Report
			So(json.Unmarshal(data.Bytes(), &back), ShouldBeNil)
			So(back, ShouldResemble, r)
			var loose struct{ Plays []map[string]any }
			So(json.Unmarshal(data.Bytes(), &loose), ShouldBeNil)
			So(loose.Plays[5], ShouldResemble, map[string]any{
				"site": "quay", "day": "a", "file": false, "seed": 3.0, "build": "new",
				"status": "no result", "detail": "the bench wrote no report", "seconds": 0.0,
			})
		})
		Convey("Days that do not fit leave a comparison complete", func() {
			So(NewReport("a", "b", nil, plays[8:]).Complete(), ShouldBeTrue)
		})
	})
	Convey("A report without a single pair has no mean", t, func() {
		r := NewReport("a", "b", nil, nil)
		So(r.Total, ShouldBeNil)
		var data bytes.Buffer
		So(r.WriteJSON(&data), ShouldBeNil)
		So(data.String(), ShouldContainSubstring, `"days": []`)
		So(math.IsNaN(meanOf(nil).Worth), ShouldBeFalse)
	})
}

func TestRevision(t *testing.T) {
	Convey("Given a repository", t, func() {
		dir := t.TempDir()
		run := func(args ...string) {
			cmd := exec.Command("git", append([]string{"-c", "user.name=a", "-c", "user.email=a@b.c"}, args...)...)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			So(string(out), ShouldNotContainSubstring, "fatal")
			So(err, ShouldBeNil)
		}
		file := filepath.Join(dir, "a.go")
		So(os.WriteFile(file, []byte("package a\n"), 0o644), ShouldBeNil)
		run("init", "-q")
		run("add", ".")
		run("commit", "-q", "-m", "Add a")
		clean, err := Revision(context.Background(), dir)
		So(err, ShouldBeNil)
		So(clean, ShouldNotEndWith, "+")
		Convey("Journal entries leave it as it is, other changes mark it", func() {
			So(os.MkdirAll(filepath.Join(dir, "journal"), 0o755), ShouldBeNil)
			So(os.WriteFile(filepath.Join(dir, "journal", "x.json"), nil, 0o644), ShouldBeNil)
			again, err := Revision(context.Background(), dir)
			So(err, ShouldBeNil)
			So(again, ShouldEqual, clean)
			So(os.WriteFile(file, []byte("package b\n"), 0o644), ShouldBeNil)
			changed, err := Revision(context.Background(), dir)
			So(err, ShouldBeNil)
			So(changed, ShouldEqual, clean+"+")
		})
		Convey("A directory without a repository is an error", func() {
			_, err := Revision(context.Background(), t.TempDir())
			So(err, ShouldNotBeNil)
		})
	})
}
