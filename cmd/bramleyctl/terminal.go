package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// Exit codes other than success.
const (
	// exitFailed means that the command or its check failed: findings, a lagging process, or an expectation that
	// was not met.
	exitFailed subcommands.ExitStatus = 1
	// exitUsage means that the command line is invalid.
	exitUsage subcommands.ExitStatus = 2
	// exitTimeout means that the command timed out before it had a result.
	exitTimeout subcommands.ExitStatus = 3
)

const exitCodesHelp = `
Exit codes: 0 success; 1 findings, lagging processes or failure; 2 invalid command line; 3 timeout.
`

// terminal holds the output streams of a command.
type terminal struct {
	out, err io.Writer
}

// explainWithExitCodes adds the exit codes to the help text of the program.
func explainWithExitCodes(explain func(io.Writer)) func(io.Writer) {
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

// usage reports an invalid command line and returns the exit code for it.
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
