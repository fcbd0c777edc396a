package compare

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
)

const (
	maxLineBytes = 4 << 10 // longer lines are cut
	maxTailLines = 3
)

// misfitPattern matches the bench's messages about a day with something that the site
// does not have: "fleetbench: poison: no class @c7" or "fleetbench: srv_flap: contract
// health is not open".
var misfitPattern = regexp.MustCompile(`^\S+: \w+: (no \S|contract \S+ is not open)`)

var (
	levelKey       = []byte(" level=")
	lostField      = []byte("msg=lost")
	suppressedText = []byte(`msg="log lines suppressed" kind=lost count=`)
)

// output reads what a play prints, line by line, and keeps counts and the last
// lines only. It is an io.Writer and not safe for concurrent use.
type output struct {
	lostRuns int
	misfit   string   // the message that the day does not fit the site, or ""
	tail     []string // the last lines that are not log lines of a process
	line     []byte   // the line that has not ended yet, cut to maxLineBytes
}

func (o *output) Write(p []byte) (int, error) {
	n := len(p)
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			o.extend(p)
			return n, nil
		}
		o.extend(p[:i])
		o.endLine()
		p = p[i+1:]
	}
}

func (o *output) extend(p []byte) {
	o.line = append(o.line, p[:min(len(p), maxLineBytes-len(o.line))]...)
}

func (o *output) endLine() {
	line := bytes.TrimSpace(o.line)
	o.line = o.line[:0]
	if len(line) == 0 {
		return
	}
	if i := bytes.Index(line, levelKey); i >= 0 {
		o.countLost(line[i+len(levelKey):])
		return
	}
	text := string(line)
	if misfitPattern.MatchString(text) {
		o.misfit = text
	}
	if len(o.tail) == maxTailLines {
		o.tail = append(o.tail[:0], o.tail[1:]...)
	}
	o.tail = append(o.tail, text)
}

// countLost counts the runs that a log line gives up; line begins with its level.
// A process does not write all lines of a kind, but counts the suppressed ones.
func (o *output) countLost(line []byte) {
	_, message, _ := bytes.Cut(line, []byte(" "))
	if count, ok := bytes.CutPrefix(message, suppressedText); ok {
		n, _ := strconv.Atoi(string(count))
		o.lostRuns += n
		return
	}
	field, _, _ := bytes.Cut(message, []byte(" "))
	if bytes.Equal(field, lostField) {
		o.lostRuns++
	}
}

// close ends a last line without a newline.
func (o *output) close() { o.endLine() }

func (o *output) lastLines() string { return strings.Join(o.tail, " | ") }
