package main

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"

	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/google/subcommands"
)

type keygenCommand struct {
	term terminal
	dir  string
}

func (*keygenCommand) Name() string { return "keygen" }
func (*keygenCommand) Synopsis() string {
	return "generate keys and certificates for a test deployment on one machine"
}

func (*keygenCommand) Usage() string {
	return `keygen --dir DIR
  Writes a certificate authority and a server certificate for callers (127.0.0.1), a certificate
  authority and a certificate for peer connections, the connection-ID, ticket and reset keys, and DIR/env.
  Load them with: set -a; . DIR/env; set +a
`
}

func (c *keygenCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "", "`directory` to write to; existing files are overwritten")
}

func (c *keygenCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.dir == "" || f.NArg() > 0 {
		return c.term.usage("keygen", "want --dir DIR and no other arguments")
	}
	if err := secrets.Generate(c.dir); err != nil {
		return c.term.fail("keygen", err)
	}
	fmt.Fprintf(c.term.out, "wrote %s\n", filepath.Join(c.dir, secrets.EnvFile))
	return subcommands.ExitSuccess
}
