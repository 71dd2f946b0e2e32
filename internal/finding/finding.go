// Package finding describes validation errors of settings, so that all of them can be reported at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one validation error in a document.
type Finding struct {
	// Path locates the value in the document, with dots between the levels; "$" is the whole document.
	Path string
	// Reason says what is wrong, in words.
	Reason string
	// Line and Column locate the value in the text and start at 1. Both are zero if the position is unknown.
	Line   int
	Column int
}

// String formats the finding on one line, with the position first if it is known.
func (f Finding) String() string {
	if f.Line == 0 {
		return f.Path + ": " + f.Reason
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Reason)
}

// Error holds all findings of a document.
type Error struct {
	Findings []Finding
}

// Error formats the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
