package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/bramleyrack/bramleyrack/settings"
)

type settingsCommand struct {
	term                     terminal
	output                   output
	service, place, upstream string
}

// settingJSON is one effective value.
type settingJSON struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Level string `json:"level"`
}

func (*settingsCommand) Name() string { return "settings" }

func (*settingsCommand) Synopsis() string {
	return "show effective settings and the level that each comes from"
}

func (*settingsCommand) Usage() string {
	return `settings --service NAME [--place NAME | --upstream NAME] [-o text|json] FILE
  Shows the policy in force for a service, for a service at a place, or for one upstream, and the
  level of the tree that sets each value.
`
}

func (c *settingsCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.StringVar(&c.service, "service", "", "`name` of the service")
	f.StringVar(&c.place, "place", "", "`name` of a place")
	f.StringVar(&c.upstream, "upstream", "", "`name` of an upstream")
}

func (c *settingsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	if c.service == "" || f.NArg() != 1 || (c.place != "" && c.upstream != "") {
		return c.term.usage(c.Name(), "want --service, at most one of --place and --upstream, and one file")
	}
	values, err := c.values(f.Arg(0))
	if err != nil {
		return c.term.fail(c.Name(), err)
	}
	c.print(values)
	return subcommands.ExitSuccess
}

func (c *settingsCommand) values(name string) ([]settings.EffectiveValue, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, err
	}
	var values []settings.EffectiveValue
	if c.upstream != "" {
		values, err = settings.Explain(data, c.service, c.upstream)
	} else {
		values, err = settings.ExplainPlace(data, c.service, c.place)
	}
	if err != nil {
		return nil, inFile(name, err)
	}
	return values, nil
}

func (c *settingsCommand) print(values []settings.EffectiveValue) {
	if c.output.isJSON() {
		out := make([]settingJSON, 0, len(values))
		for _, v := range values {
			out = append(out, settingJSON(v))
		}
		c.term.json(out)
		return
	}
	rows := [][]string{{"FIELD", "VALUE", "LEVEL"}}
	for _, v := range values {
		rows = append(rows, []string{v.Field, v.Value, v.Level})
	}
	c.term.table(rows)
}
