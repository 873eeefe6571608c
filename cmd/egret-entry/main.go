// Command egret-entry is the entry instance between callers and sidecars.
package main

import (
	"fmt"
	"os"

	"github.com/egrethoist/egrethoist/internal/process"
	"github.com/egrethoist/egrethoist/internal/settings"
)

func main() {
	cmd, err := settings.ParseCommand("egret-entry", "the entry instance between callers and sidecars", os.Args[1:])
	if err != nil {
		os.Exit(settings.Report(err))
	}
	s, err := cmd.LoadEntry()
	if err != nil {
		os.Exit(settings.Report(err))
	}
	if cmd.Check {
		return
	}
	if err := process.RunEntry(s); err != nil {
		fmt.Fprintln(os.Stderr, "egret-entry:", err)
		os.Exit(settings.ExitFailed)
	}
}
