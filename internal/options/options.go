// Package options reads the options of a program from flags and BRAMLEY_* environment variables.
//
// A flag overrides its environment variable, which overrides the default. All invalid values are reported, not only
// the first one.
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

// EnvPrefix is the prefix of the environment variables that correspond to flags.
const EnvPrefix = "BRAMLEY"

// UsageExitCode is the exit code of a program that was started with invalid flags or environment variables.
const UsageExitCode = 2

// ErrVersion is returned by Parse after it has printed the version for --version.
var ErrVersion = errors.New("version requested")

// Set holds the options of one program.
type Set struct {
	program string
	output  io.Writer
	flags   *flag.FlagSet
	// placeholders holds the text that stands for an option's value in the help, such as IP:PORT.
	placeholders map[string]string
	errs         []error
	required     []string
}

// New returns an empty Set. The program's name appears in the help, version and error texts.
func New(program string) *Set {
	s := &Set{program: program, output: os.Stderr, placeholders: make(map[string]string)}
	s.flags = flag.NewFlagSet(program, flag.ContinueOnError)
	s.flags.SetOutput(io.Discard)
	return s
}

// SetOutput redirects the help text, the version and the errors that MustParse prints. The default is standard error.
func (s *Set) SetOutput(w io.Writer) {
	s.output = w
}

// Require makes Parse return an error for each named option that is empty after parsing.
func (s *Set) Require(names ...string) {
	s.required = append(s.required, names...)
}

// String adds an option that takes any string.
func (s *Set) String(p *string, name, def, usage string) {
	*p = def
	s.add(name, "text", usage, &value[string]{set: s, name: name, target: p, parse: parseText, format: formatText})
}

// Duration adds an option that takes a non-negative duration with a unit, such as 1m30s.
func (s *Set) Duration(p *time.Duration, name string, def time.Duration, usage string) {
	*p = def
	s.add(name, "duration", usage, &value[time.Duration]{set: s, name: name, target: p, parse: parseDuration, format: formatAny[time.Duration]})
}

// Int adds an option that takes an integer. The usage names the unit in back quotes.
func (s *Set) Int(p *int, name string, def int, usage string) {
	*p = def
	s.add(name, "count", usage, &value[int]{set: s, name: name, target: p, parse: parseInt, format: formatAny[int]})
}

// Bool adds a Boolean option. The flag without a value means true.
func (s *Set) Bool(p *bool, name string, def bool, usage string) {
	*p = def
	s.add(name, "true|false", usage, &value[bool]{set: s, name: name, target: p, parse: parseBool, format: formatAny[bool], boolean: true})
}

// AddrPort adds an option that takes an IP address and port. An empty string means no address.
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

func (s *Set) add(name, placeholder, usage string, v flag.Value) {
	s.placeholders[name] = placeholder
	s.flags.Var(v, name, usage)
}

// Parse reads args, and the environment for options that args don't set. It returns flag.ErrHelp after --help,
// ErrVersion after --version, and otherwise all errors joined.
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
		s.errs = append(s.errs, fmt.Errorf("unexpected argument %q", arg))
	}
	s.checkRequired()
	return errors.Join(s.errs...)
}

// MustParse is Parse for a main function: it exits with code 0 after --help and --version, and prints the errors and
// exits with UsageExitCode on invalid input.
func (s *Set) MustParse(args []string) {
	err := s.Parse(args)
	switch {
	case err == nil:
		return
	case errors.Is(err, flag.ErrHelp), errors.Is(err, ErrVersion):
		os.Exit(0)
	}
	fmt.Fprintf(s.output, "%s: invalid options:\n%v\nrun \"%s --help\" for all options\n", s.program, err, s.program)
	os.Exit(UsageExitCode)
}

// parseFlags continues after an unknown flag, so that all of them are reported.
func (s *Set) parseFlags(args []string) ([]string, error) {
	for {
		err := ff.Parse(s.flags, args, ff.WithEnvVarPrefix(EnvPrefix))
		if err == nil {
			return s.flags.Args(), nil
		}
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		s.errs = append(s.errs, cause(err))
		args = skipToFlag(s.flags.Args())
	}
}

// cause strips the outermost wrapping, in which package ff only names its parsing step.
func cause(err error) error {
	if inner := errors.Unwrap(err); inner != nil {
		return inner
	}
	return err
}

// skipToFlag drops the arguments before the next flag, which can only be the value of an unknown flag.
func skipToFlag(args []string) []string {
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
		if f.Value.String() == "" && !s.hasValueError(name) {
			s.errs = append(s.errs, fmt.Errorf("--%s (or %s) is required", name, EnvName(name)))
		}
	}
}

func (s *Set) hasValueError(name string) bool {
	for _, err := range s.errs {
		var valueErr *ValueError
		if errors.As(err, &valueErr) && valueErr.Name == name {
			return true
		}
	}
	return false
}

// EnvName returns the name of the environment variable that corresponds to a flag.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.NewReplacer("-", "_", ".", "_").Replace(name))
}
