package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/platform"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// instance is a real gateway process that is restarted whenever it exits.
type instance struct {
	spec       standin.Instance
	program    string
	dir        string
	callerLink *link
	storeLink  *link
	ready      atomic.Bool // the load balancer sends new connections to it

	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{}
	stopExpected bool // the soak has sent a signal that ends the process
	stopped      bool // no restart
	starts       int
}

const (
	restartDelay   = 300 * time.Millisecond
	readyInterval  = time.Second
	maxReadyMisses = 2 // consecutive failed checks after which an instance is not ready
)

func (in *instance) settingsPath() string { return filepath.Join(in.dir, in.spec.Name+".conf") }
func (in *instance) logPath() string      { return filepath.Join(in.dir, in.spec.Name+".log") }

// writeSettings writes the settings file of the instance.
func (in *instance) writeSettings() error {
	return os.WriteFile(in.settingsPath(), []byte(in.spec.Settings()), 0o600)
}

// start starts the process and restarts it restartDelay after each exit, unless the instance was shut down. It calls unexpected
// if the process exits without a signal from the soak, or cannot be restarted. It returns an error if the first start fails.
func (in *instance) start(unexpected func(instance string, err error)) error {
	log, err := os.OpenFile(in.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(in.program)
	cmd.Env = []string{platform.SettingsVariable + "=" + in.settingsPath(), "PATH=" + os.Getenv("PATH"), "GOMAXPROCS=2"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", in.spec.Name, err)
	}
	ended := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.ended, in.stopExpected = cmd, ended, false
	in.starts++
	in.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(ended)
		in.mu.Lock()
		expected, stopped := in.stopExpected, in.stopped
		in.mu.Unlock()
		if !expected {
			unexpected(in.spec.Name, err)
		}
		if stopped {
			return
		}
		time.Sleep(restartDelay)
		if err := in.start(unexpected); err != nil {
			unexpected(in.spec.Name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process. After SIGTERM or SIGKILL its exit is expected.
func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		in.stopExpected = true
	}
	if err := in.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintf(os.Stderr, "soak: signal %v to %s: %v\n", sig, in.spec.Name, err)
	}
}

// stopping reports whether the soak has sent a signal that ends the process, and no new one has started.
func (in *instance) stopping() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.stopExpected
}

// terminate stops the process as the platform does: with SIGTERM, and with SIGKILL if it has not exited after the grace period.
func (in *instance) terminate(grace time.Duration) {
	in.mu.Lock()
	ended := in.ended
	in.mu.Unlock()
	in.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		in.signal(syscall.SIGKILL)
		<-ended
	}
}

// shutdown kills the process and prevents its restart.
func (in *instance) shutdown() {
	in.mu.Lock()
	in.stopped = true
	ended := in.ended
	in.mu.Unlock()
	in.signal(syscall.SIGKILL)
	<-ended
}

// pollReadiness polls the readiness endpoint of the instance, as the platform's load balancer does, and updates ready until ctx
// ends.
func (in *instance) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval, Transport: httpclient.New(&http.Transport{DisableKeepAlives: true})}
	url := fmt.Sprintf("http://%s:%d%s", in.spec.IP, in.spec.ReadyPort, platform.ReadyPath)
	misses := 0
	for ctx.Err() == nil {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
			in.ready.Store(true)
		} else if misses++; misses >= maxReadyMisses {
			in.ready.Store(false)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyInterval):
		}
	}
}
