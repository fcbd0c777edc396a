package ctl

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peridotlock/peridotlock/finding"
)

type diffCommand struct {
	File   string `arg:"" optional:"" help:"File to compare with the document in force."`
	Branch string `help:"Path of the branch; defaults to the whole tree."`
	From   string `help:"Earlier revision to compare from."`
	To     string `help:"Revision to compare to; defaults to the newest one."`
}

func (c *diffCommand) check() finding.List {
	var found finding.List
	parseRevision(&found, "--from", c.From)
	parseRevision(&found, "--to", c.To)
	if (c.File == "") == (c.From == "") {
		found.Addf("file", "give either a file or --from")
	}
	if c.File != "" {
		if _, err := os.ReadFile(c.File); err != nil {
			found = append(found, finding.Finding{File: c.File, Message: err.Error()})
		}
	}
	return found
}

// Run prints the lines that differ.
func (c *diffCommand) Run(s *session) error {
	before, err := s.client.Document(s.ctx, branchPath(c.Branch), revisionOf(c.From))
	if err != nil {
		return err
	}
	after, err := c.after(s)
	if err != nil {
		return err
	}
	lines := diffLines(splitLines(before.Text), splitLines(after))
	return s.out.print(lines, func(w io.Writer) { printDiff(w, lines) })
}

func (c *diffCommand) after(s *session) (string, error) {
	if c.File != "" {
		data, err := os.ReadFile(c.File)
		return string(data), err
	}
	doc, err := s.client.Document(s.ctx, branchPath(c.Branch), revisionOf(c.To))
	return doc.Text, err
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// diffLine is one line that only one of the two texts has. Line is its number in
// that text, from 1.
type diffLine struct {
	Added bool   `json:"added"`
	Line  int    `json:"line"`
	Text  string `json:"text"`
}

func printDiff(w io.Writer, lines []diffLine) {
	if len(lines) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, l := range lines {
		sign := "-"
		if l.Added {
			sign = "+"
		}
		fmt.Fprintf(w, "%s%4d  %s\n", sign, l.Line, l.Text)
	}
}

// maxDiffCells is the maximum number of cells of a comparison's table.
const maxDiffCells = 4 << 20

// diffLines compares two texts by their longest common subsequence after removing
// the common prefix and suffix. If the rest is too large for the table, all of its
// lines are reported as different.
func diffLines(a, b []string) []diffLine {
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	endA, endB := len(a), len(b)
	for endA > start && endB > start && a[endA-1] == b[endB-1] {
		endA--
		endB--
	}
	return diffMiddle(a[start:endA], b[start:endB], start)
}

func diffMiddle(a, b []string, prefixLines int) []diffLine {
	table := commonLengths(a, b)
	var out []diffLine
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case table != nil && i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case i < len(a) && (table == nil || j == len(b) || table[i+1][j] >= table[i][j+1]):
			out = append(out, diffLine{Line: prefixLines + i + 1, Text: a[i]})
			i++
		default:
			out = append(out, diffLine{Added: true, Line: prefixLines + j + 1, Text: b[j]})
			j++
		}
	}
	return out
}

// commonLengths returns the lengths of the longest common subsequences of all
// pairs of suffixes of a and b, or nil if the table would exceed maxDiffCells.
func commonLengths(a, b []string) [][]int32 {
	if (len(a)+1)*(len(b)+1) > maxDiffCells {
		return nil
	}
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
				continue
			}
			table[i][j] = max(table[i+1][j], table[i][j+1])
		}
	}
	return table
}
