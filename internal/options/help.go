package options

import (
	"flag"
	"fmt"
	"runtime/debug"
)

// PrintHelp writes every option with its unit, default and environment variable.
func (s *Set) PrintHelp() {
	fmt.Fprintf(s.output, "Usage: %s [options]\n\nOptions:\n", s.program)
	s.flags.VisitAll(func(f *flag.Flag) {
		unit, usage := flag.UnquoteUsage(f)
		def := f.DefValue
		if def == "" {
			def = "none"
		}
		fmt.Fprintf(s.output, "  --%s %s\n        %s (default %s; env %s)\n", f.Name, unit, usage, def, EnvName(f.Name))
	})
	fmt.Fprintf(s.output, "  --version\n        print the version and exit\n")
}

// Version describes the build of a program.
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
