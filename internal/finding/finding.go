// Package finding describes what is wrong with settings, so that all of it can be reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one fault of a document.
type Finding struct {
	// Path is the place in the document, with dots between the levels; "$" is the whole document.
	Path   string
	Reason string
	// Line and Column are the place in the text, from 1. They are zero when it is not known.
	Line   int
	Column int
}

// String describes the finding on one line.
func (f Finding) String() string {
	if f.Line == 0 {
		return f.Path + ": " + f.Reason
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Reason)
}

// Error reports every fault of a document at once.
type Error struct {
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
