// Command egret-sidecar is the process beside a target.
package main

import (
	"fmt"
	"os"

	"github.com/egrethoist/egrethoist/internal/process"
	"github.com/egrethoist/egrethoist/internal/settings"
)

func main() {
	cmd, err := settings.ParseCommand("egret-sidecar", "the process beside a target", os.Args[1:])
	if err != nil {
		os.Exit(settings.Report(err))
	}
	s, err := cmd.LoadSidecar()
	if err != nil {
		os.Exit(settings.Report(err))
	}
	if cmd.Check {
		return
	}
	if err := process.RunSidecar(s); err != nil {
		fmt.Fprintln(os.Stderr, "egret-sidecar:", err)
		os.Exit(settings.ExitFailed)
	}
}
