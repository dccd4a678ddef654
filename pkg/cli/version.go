package cli

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version returns the module version and VCS revision that the program was built from.
func Version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " " + setting.Value
		}
	}
	return info.Main.Version
}

func newVersionCommand() command {
	run := func(streams Streams) int {
		fmt.Fprintf(streams.Out, "martenwheel %s %s %s/%s\n", Version(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
		return ExitOK
	}
	return command{parser: newSubcommand("version", "print the version"), run: run}
}
