package main

import (
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/google/subcommands"
)

const (
	formatText = "text"
	formatJSON = "json"
)

// output holds the value of the -o flag of a command.
type output struct {
	format string
}

func (o *output) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.format, "o", formatText, "`format` of the output: text or json")
}

// check returns an error if the format is unknown.
func (o *output) check() error {
	if o.format != formatText && o.format != formatJSON {
		return fmt.Errorf("-o %s: want text or json", o.format)
	}
	return nil
}

func (o *output) isJSON() bool {
	return o.format == formatJSON
}

// table writes rows with aligned columns.
func (t terminal) table(rows [][]string) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// exitStatus returns the exit code of a command whose check has passed or failed.
func exitStatus(ok bool) subcommands.ExitStatus {
	if ok {
		return subcommands.ExitSuccess
	}
	return exitFailed
}
