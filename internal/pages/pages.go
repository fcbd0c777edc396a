// Package pages reads the tables of the documentation, so that a test can hold
// them against the code.
package pages

import (
	"bufio"
	"io"
	"strings"
)

// Row is one row of a Markdown table, its cells without surrounding space.
type Row []string

// Cell returns the cell at i, or "" when the row is shorter.
func (r Row) Cell(i int) string {
	if i >= len(r) {
		return ""
	}
	return r[i]
}

// Rows returns all rows of all tables in a Markdown text, without headings and
// separators.
func Rows(text io.Reader) ([]Row, error) {
	var rows []Row
	var previous Row
	scanner := bufio.NewScanner(text)
	for scanner.Scan() {
		row, ok := parseRow(scanner.Text())
		switch {
		case !ok:
			previous = nil
		case isSeparator(row) && previous != nil:
			rows = rows[:len(rows)-1]
		default:
			rows = append(rows, row)
			previous = row
		}
	}
	return rows, scanner.Err()
}

func parseRow(line string) (Row, bool) {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "|") {
		return nil, false
	}
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells, true
}

func isSeparator(r Row) bool {
	for _, cell := range r {
		if strings.Trim(cell, ":-") != "" {
			return false
		}
	}
	return true
}

// Quoted returns the parts of a cell that stand between backquotes.
func Quoted(cell string) []string {
	var out []string
	for i, part := range strings.Split(cell, "`") {
		if i%2 == 1 {
			out = append(out, part)
		}
	}
	return out
}
