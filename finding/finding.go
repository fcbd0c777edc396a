// Package finding collects what is wrong with an input, each with its place,
// so that all of it is reported together.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault and its place. Line and Column count from 1; 0 is
// unknown.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Path    string `json:"path,omitempty"` // path of the setting, such as "zavod/kontinent: policy.tasks.lease"
	Message string `json:"message"`
}

// String returns "file:line:column: path: message" without unknown parts.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is a set of findings; it is an error when not empty.
type List []Finding

// Error returns one finding a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort orders the list by file, line and column, and returns it.
func (l List) Sort() List {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return l
}

// Addf appends a finding at path.
func (l *List) Addf(path, format string, args ...any) {
	*l = append(*l, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}
