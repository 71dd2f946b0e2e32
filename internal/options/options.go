// Package options reads the settings of a process from flags and BRAMLEY_* environment variables.
//
// A flag goes before its variable, and both go before the default. Every bad value is reported, not
// only the first one.
package options

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix starts the name of every environment variable that stands for a flag.
const EnvPrefix = "BRAMLEY"

// UsageExitCode is the exit code of a program that was started with bad flags or variables.
const UsageExitCode = 2

// ErrVersion is returned by Parse when --version was given and printed.
var ErrVersion = errors.New("version requested")

// Set is the set of options of one program.
type Set struct {
	program  string
	output   io.Writer
	flags    *flag.FlagSet
	units    map[string]string
	findings []error
	required []string
}

// New returns an empty set for the named program.
func New(program string) *Set {
	s := &Set{program: program, output: os.Stderr, units: make(map[string]string)}
	s.flags = flag.NewFlagSet(program, flag.ContinueOnError)
	s.flags.SetOutput(io.Discard)
	return s
}

// SetOutput redirects what --help and --version print.
func (s *Set) SetOutput(w io.Writer) {
	s.output = w
}

// Require makes Parse report each named option that is empty after parsing.
func (s *Set) Require(names ...string) {
	s.required = append(s.required, names...)
}

// String adds an option that takes any text.
func (s *Set) String(p *string, name, def, usage string) {
	*p = def
	s.add(name, "text", usage, &value[string]{set: s, name: name, target: p, parse: parseText, format: formatText})
}

// Duration adds an option that takes a duration with its unit, such as 1m30s.
func (s *Set) Duration(p *time.Duration, name string, def time.Duration, usage string) {
	*p = def
	s.add(name, "duration", usage, &value[time.Duration]{set: s, name: name, target: p, parse: parseDuration, format: formatAny[time.Duration]})
}

// Int adds an option that takes a whole number. The usage names its unit in back quotes.
func (s *Set) Int(p *int, name string, def int, usage string) {
	*p = def
	s.add(name, "count", usage, &value[int]{set: s, name: name, target: p, parse: parseInt, format: formatAny[int]})
}

// Bool adds an option that is true when given without a value.
func (s *Set) Bool(p *bool, name string, def bool, usage string) {
	*p = def
	s.add(name, "true|false", usage, &value[bool]{set: s, name: name, target: p, parse: parseBool, format: formatAny[bool], boolean: true})
}

// AddrPort adds an option that takes an IP address and port. An empty text means no address.
func (s *Set) AddrPort(p *netip.AddrPort, name, def, usage string) {
	v := &value[netip.AddrPort]{set: s, name: name, target: p, parse: parseAddrPort, format: formatAddrPort}
	_ = v.Set(def)
	s.add(name, "IP:PORT", usage, v)
}

// Bindings adds an option that takes a comma-separated list of NAME=IP:PORT.
func (s *Set) Bindings(p *map[string]netip.AddrPort, name, def, usage string) {
	v := &value[map[string]netip.AddrPort]{set: s, name: name, target: p, parse: parseBindings, format: formatBindings}
	_ = v.Set(def)
	s.add(name, "NAME=IP:PORT,...", usage, v)
}

func (s *Set) add(name, unit, usage string, v flag.Value) {
	s.units[name] = unit
	s.flags.Var(v, name, usage)
}

// Parse reads args, then the environment for what args leave open. It returns flag.ErrHelp after
// --help, ErrVersion after --version, and otherwise all findings joined.
func (s *Set) Parse(args []string) error {
	if wantsVersion(args) {
		fmt.Fprintln(s.output, Version(s.program))
		return ErrVersion
	}
	rest, err := s.parseFlags(args)
	if errors.Is(err, flag.ErrHelp) {
		s.PrintHelp()
		return err
	}
	for _, arg := range rest {
		s.findings = append(s.findings, fmt.Errorf("unexpected argument %q", arg))
	}
	s.checkRequired()
	return errors.Join(s.findings...)
}

// MustParse is Parse for a main function: it ends the program after --help, --version and bad input.
func (s *Set) MustParse(args []string) {
	err := s.Parse(args)
	switch {
	case err == nil:
		return
	case errors.Is(err, flag.ErrHelp), errors.Is(err, ErrVersion):
		os.Exit(0)
	}
	fmt.Fprintf(s.output, "%s: bad options:\n%v\nrun \"%s --help\" for all options\n", s.program, err, s.program)
	os.Exit(UsageExitCode)
}

// parseFlags goes on after an unknown flag, so that all of them are reported.
func (s *Set) parseFlags(args []string) ([]string, error) {
	for {
		err := ff.Parse(s.flags, args, ff.WithEnvVarPrefix(EnvPrefix))
		if err == nil {
			return s.flags.Args(), nil
		}
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		s.findings = append(s.findings, cause(err))
		args = nextFlag(s.flags.Args())
	}
}

// cause strips the library's wrapping, which names its own step only.
func cause(err error) error {
	if inner := errors.Unwrap(err); inner != nil {
		return inner
	}
	return err
}

// nextFlag drops what can only be the value of an unknown flag.
func nextFlag(args []string) []string {
	for i, arg := range args {
		if strings.HasPrefix(arg, "-") {
			return args[i:]
		}
	}
	return nil
}

func wantsVersion(args []string) bool {
	for _, arg := range args {
		if arg == "--" {
			return false
		}
		if arg == "--version" || arg == "-version" {
			return true
		}
	}
	return false
}

func (s *Set) checkRequired() {
	for _, name := range s.required {
		f := s.flags.Lookup(name)
		if f.Value.String() == "" && !s.reported(name) {
			s.findings = append(s.findings, fmt.Errorf("--%s (or %s) is required", name, EnvName(name)))
		}
	}
}

func (s *Set) reported(name string) bool {
	for _, err := range s.findings {
		var bad *ValueError
		if errors.As(err, &bad) && bad.Name == name {
			return true
		}
	}
	return false
}

// EnvName returns the environment variable that stands for a flag.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.NewReplacer("-", "_", ".", "_").Replace(name))
}
