package fleet

import (
	"log"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/egrethoist/egrethoist/internal/world"
)

// serverLog fails a test for each line that an HTTP server of its fleet logs. Such a line is a panic, a second status for
// one response or a connection that a server gave up, none of which a test expects.
type serverLog struct {
	errorf func(format string, args ...any)
	mu     sync.Mutex
	done   bool // the test has ended; errorf must not be called any more
}

func newServerLog(t testing.TB) *log.Logger {
	l := &serverLog{errorf: t.Errorf}
	t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.done = true
	})
	return log.New(l, "", 0)
}

// Write implements io.Writer.
func (l *serverLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.done {
		l.errorf("HTTP server: %s", strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// Guards against a server of the fleet that logs elsewhere, so that a second status for one response stays unseen.
func TestServerLogSeesASecondStatus(t *testing.T) {
	var lines strings.Builder
	l := &serverLog{errorf: func(_ string, args ...any) { lines.WriteString(args[0].(string)) }}
	f, err := Start(Options{
		World:     small(t, 1),
		FreePorts: true,
		ErrorLog:  log.New(l, "", 0),
		Backend: func(_ *world.Target, _ http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusOK)
				w.WriteHeader(http.StatusBadGateway)
			})
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	resp, err := http.Get("http://" + f.Targets["planner-01"].Backend())
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !strings.Contains(lines.String(), "superfluous response.WriteHeader") {
		t.Errorf("lines %q", lines.String())
	}
}
