package egretctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/egrethoist/egrethoist/platform/configcheck"
)

// stdinName stands for the standard input among parsed arguments.
const stdinName = "(standard input)"

// replaceDash replaces the argument "-", which flaggy takes for a flag without a name, by stdinName.
func replaceDash(args []string) []string {
	args = slices.Clone(args)
	for i, arg := range args {
		if arg == "-" {
			args[i] = stdinName
		}
	}
	return args
}

// checkResult is the outcome of a check as it is printed.
type checkResult struct {
	Findings    []configcheck.Finding `json:"findings"`
	Differences []string              `json:"differences,omitempty"` // from the configuration in force
}

// problemsError makes check end with ExitFailed after the problems were printed.
type problemsError struct{ count int }

func (e *problemsError) Error() string { return fmt.Sprintf("%d problems found", e.count) }

// check checks a configuration of the users' platform before it is sent.
func (c *command) check(context.Context) error {
	if c.against == stdinName && (c.file == stdinName || c.file == "") {
		return usage("only one of the configurations can come from the standard input")
	}
	raw, err := c.readConfig(c.file)
	if err != nil {
		return err
	}
	result := checkResult{Findings: configcheck.Check(raw)}
	if result.Findings == nil {
		result.Findings = []configcheck.Finding{}
	}
	if c.against != "" {
		inForce, err := c.readConfig(c.against)
		if err != nil {
			return err
		}
		differences, err := configcheck.Differences(inForce, raw)
		if err != nil && len(result.Findings) == 0 {
			return usage("--against: %v", err)
		}
		result.Differences = differences
	}
	c.printCheck(result)
	if n := len(result.Findings); n > 0 {
		return &problemsError{n}
	}
	return nil
}

// readConfig reads a file or the standard input. A failure counts as wrong usage, since nothing was checked.
func (c *command) readConfig(name string) ([]byte, error) {
	if name == "" || name == stdinName {
		raw, err := io.ReadAll(c.env.Stdin)
		if err != nil {
			return nil, usage("read standard input: %v", err)
		}
		return raw, nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, usage("read configuration: %v", err)
	}
	return raw, nil
}

func (c *command) printCheck(result checkResult) {
	if c.output == "json" {
		c.printJSON(result)
		return
	}
	for _, f := range result.Findings {
		fmt.Fprintln(c.env.Stdout, f)
	}
	for _, d := range result.Differences {
		fmt.Fprintln(c.env.Stdout, "differs:", d)
	}
	if len(result.Findings) == 0 {
		fmt.Fprintln(c.env.Stdout, "no problems found")
	}
}

// isReported reports whether an error only stands for an exit code, its cause having been printed.
func isReported(err error) bool {
	var different *differentError
	var problems *problemsError
	return errors.As(err, &different) || errors.As(err, &problems)
}
