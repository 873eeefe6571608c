// Command egret-gateway runs a gateway instance, for platforms whose targets run without a sidecar.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/logline"
	"github.com/egrethoist/egrethoist/platform"
)

func main() {
	check := false
	flaggy.SetName("egret-gateway")
	flaggy.SetDescription("entry instance between callers and targets; settings come from the file named by " + platform.SettingsVariable)
	flaggy.Bool(&check, "", "check", "check the settings file and exit")
	flaggy.Parse()

	// Until the process ends, no signal has its default action, which is to kill the process: connections may wait in a listener's queue.
	signals := newSignals()
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, "egret-gateway:", err)
		os.Exit(2)
	}
	if check {
		return
	}
	lines := logline.New(os.Stdout)
	logger := slog.New(slog.NewJSONHandler(lines, nil))
	slog.SetDefault(logger)
	klog.SetSlogLogger(logger)
	err = serve(settings, signals)
	if err != nil {
		klog.ErrorS(err, "stopped by an error")
	}
	lines.Close()
	if err != nil {
		os.Exit(1)
	}
}
