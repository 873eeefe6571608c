package egretctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const checkedConfig = `{"version":2,"routes":[{"name":"a","host":"h","prefix":"/a/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,"service":"s"}],"services":[{"name":"s","maxConns":5}]}`

// runCheck runs egretctl with a standard input and returns the exit code and both outputs.
func runCheck(stdin string, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(Env{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errs}, append([]string{"check"}, args...))
	return code, out.String(), errs.String()
}

// Guards against pipelines that take a mistake or a wrong call for success.
func TestCheckExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(checkedConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	faulty := strings.Replace(checkedConfig, `"/a/"`, `"/a"`, 1)
	for name, c := range map[string]struct {
		stdin  string
		args   []string
		code   int
		output string
	}{
		"sound file":          {"", []string{file}, ExitOK, "no problems found"},
		"sound input":         {checkedConfig, []string{"-"}, ExitOK, "no problems found"},
		"input by default":    {checkedConfig, nil, ExitOK, "no problems found"},
		"problem":             {faulty, []string{"-"}, ExitFailed, "routes[0] (a).prefix: "},
		"not JSON":            {"{", []string{"-"}, ExitFailed, "line 1, column 1: unexpected end"},
		"differences are not": {strings.Replace(checkedConfig, "300", "400", 1), []string{"-", "--against", file}, ExitOK, "differs: route a: objective was 300ms, becomes 400ms"},
		"no such file":        {"", []string{file + "x"}, ExitUsage, "read configuration"},
		"invalid in force":    {checkedConfig, []string{"-", "--against", file + "x"}, ExitUsage, "read configuration"},
		"input twice":         {checkedConfig, []string{"-", "--against", "-"}, ExitUsage, "only one"},
		"unknown output":      {checkedConfig, []string{"-", "--output", "xml"}, ExitUsage, "text or json"},
	} {
		code, stdout, stderr := runCheck(c.stdin, c.args...)
		if code != c.code || !strings.Contains(stdout+stderr, c.output) {
			t.Errorf("%s: exit code %d, want %d: %s%s", name, code, c.code, stdout, stderr)
		}
	}
}

// Guards against JSON that a pipeline can't decode, also with problems and without.
func TestCheckJSON(t *testing.T) {
	for stdin, want := range map[string]int{checkedConfig: 0, strings.Replace(checkedConfig, `"/a/"`, `"/a"`, 1): 1} {
		_, stdout, _ := runCheck(stdin, "-", "--output", "json")
		var result checkResult
		if err := json.Unmarshal([]byte(stdout), &result); err != nil || result.Findings == nil || len(result.Findings) != want {
			t.Errorf("%v: %s", err, stdout)
		}
	}
}
