package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// Exit codes beside success.
const (
	// exitFailed says that what was asked for is not so: findings, a lagging process, a broken outcome.
	exitFailed subcommands.ExitStatus = 1
	// exitUsage says that the command line is wrong.
	exitUsage subcommands.ExitStatus = 2
	// exitTimeout says that the time ran out before the answer was known.
	exitTimeout subcommands.ExitStatus = 3
)

const exitCodesHelp = `
Exit codes: 0 done; 1 findings, lagging or failed; 2 wrong command line; 3 timeout.
`

// terminal is where a command writes.
type terminal struct {
	out, err io.Writer
}

func explainProgram(explain func(io.Writer)) func(io.Writer) {
	return func(w io.Writer) {
		explain(w)
		fmt.Fprint(w, exitCodesHelp)
	}
}

// fail reports an error and returns the exit code for it.
func (t terminal) fail(command string, err error) subcommands.ExitStatus {
	fmt.Fprintf(t.err, "bramleyctl %s: %v\n", command, err)
	return exitFailed
}

// usage reports a wrong command line and returns the exit code for it.
func (t terminal) usage(command, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(t.err, "bramleyctl %s: %s\nrun \"bramleyctl help %s\"\n", command, fmt.Sprintf(format, args...), command)
	return exitUsage
}

func (t terminal) json(v any) {
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		fmt.Fprintf(t.err, "bramleyctl: write: %v\n", err)
	}
}
