package options

import (
	"flag"
	"fmt"
	"runtime/debug"
	"strings"
)

// PrintHelp prints all options with their placeholders, defaults and environment variables.
func (s *Set) PrintHelp() {
	fmt.Fprintf(s.output, "Usage: %s [options]\n\nOptions:\n", s.program)
	s.flags.VisitAll(func(f *flag.Flag) {
		placeholder, usage := s.describe(f)
		def := f.DefValue
		if def == "" {
			def = "none"
		}
		fmt.Fprintf(s.output, "  --%s %s\n        %s (default %s; env %s)\n", f.Name, placeholder, usage, def, EnvName(f.Name))
	})
	fmt.Fprintf(s.output, "  --version\n        print the version and exit\n")
}

// describe returns the placeholder and the usage text of an option. The placeholder is the back-quoted word in the
// usage, as in package flag, or else the one of the option's type.
func (s *Set) describe(f *flag.Flag) (placeholder, usage string) {
	if strings.Contains(f.Usage, "`") {
		return flag.UnquoteUsage(f)
	}
	return s.placeholders[f.Name], f.Usage
}

// Version returns the program's name, version, VCS revision and Go version, as far as the build recorded them.
func Version(program string) string {
	version, revision := "devel", "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + " " + version
	}
	if info.Main.Version != "" && info.Main.Version != "(devel)" {
		version = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	return fmt.Sprintf("%s %s revision=%s go=%s", program, version, revision, info.GoVersion)
}
