package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/platform"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// runVariable makes the test binary run as the program.
const runVariable = "EGRET_GATEWAY_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// freePort returns a port of the address that nothing listens on, and that is followed by others.
func freePort(t *testing.T, ip string) int {
	t.Helper()
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// startProcess starts the program without a metadata store, and returns it with the address for callers.
func startProcess(t *testing.T, n int) (*exec.Cmd, string) {
	t.Helper()
	ip := fmt.Sprintf("127.21.%d.%d", os.Getpid()%250, n+1) // so that ports do not conflict with those of other tests
	in := standin.Instance{
		Name: "a", Domain: "d", Domains: []string{"d"}, IP: ip, FrontPort: freePort(t, ip), ReadyPort: freePort(t, ip), PeerPort: freePort(t, ip),
		MetaStoreAddress: ip + ":1",
		Bounds: standin.Bounds{Drain: 2 * time.Second, StopTimeout: 2 * time.Second, ConfigApply: 2 * time.Second, LeaseTTL: 2 * time.Second, Weights: 9 * time.Second,
			RetryRatio: 0.2, RetryFloor: 10, RetryWindow: 10 * time.Second, ColdRateFactor: 1, ColdRateSlack: 1},
	}
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte(in.Settings()), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runVariable+"=1", platform.SettingsVariable+"="+path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, fmt.Sprintf("%s:%d", ip, in.FrontPort)
}

// Guards against a signal that kills the process by its default action, with what callers have sent: just after it has begun to listen, or
// while it stops.
func TestSignalsDoNotKillTheProcess(t *testing.T) {
	for i, signals := range [][]syscall.Signal{
		{syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM},
	} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			cmd, address := startProcess(t, i)
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			t.Cleanup(func() { _ = cmd.Process.Kill() })
			conn, err := dialUntil(address, ended)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			for _, s := range signals {
				if err := cmd.Process.Signal(s); err != nil {
					t.Errorf("%v: %v", s, err)
				}
			}
			if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("status %d, want a refusal: the instance has no configuration", resp.StatusCode)
			}
			_ = conn.Close()
			if err := <-ended; err != nil {
				t.Errorf("process ended with %v, want an orderly end", err)
			}
		})
	}
}

// dialUntil connects as soon as the process listens. It returns an error if the process ends before.
func dialUntil(address string, ended <-chan error) (net.Conn, error) {
	for {
		conn, err := net.Dial("tcp4", address)
		if err == nil {
			return conn, nil
		}
		select {
		case err := <-ended:
			return nil, fmt.Errorf("process ended: %w", err)
		case <-time.After(time.Millisecond):
		}
	}
}
