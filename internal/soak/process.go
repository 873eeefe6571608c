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

	"github.com/egrethoist/egrethoist/platform"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// instance is one real gateway process, started anew whenever it ends.
type instance struct {
	machine standin.Instance
	program string
	dir     string
	front   *link
	store   *link
	ready   atomic.Bool // in the balancer's rotation

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	ending  bool // the soak makes it end
	stopped bool // no new start
	starts  int
}

const (
	restartDelay = 300 * time.Millisecond
	readyPeriod  = 250 * time.Millisecond
	readyMisses  = 2 // checks without a 200 that take an instance out
)

func (in *instance) settingsPath() string { return filepath.Join(in.dir, in.machine.Name+".conf") }
func (in *instance) logPath() string      { return filepath.Join(in.dir, in.machine.Name+".log") }

func (in *instance) writeSettings() error {
	return os.WriteFile(in.settingsPath(), []byte(in.machine.Settings()), 0o600)
}

// start begins a process and watches it.
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
		return fmt.Errorf("start %s: %w", in.machine.Name, err)
	}
	ended := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.ended, in.ending = cmd, ended, false
	in.starts++
	in.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(ended)
		in.mu.Lock()
		expected, stopped := in.ending, in.stopped
		in.mu.Unlock()
		if !expected {
			unexpected(in.machine.Name, err)
		}
		if stopped {
			return
		}
		time.Sleep(restartDelay)
		if err := in.start(unexpected); err != nil {
			unexpected(in.machine.Name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process; one that ends it is expected to.
func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		in.ending = true
	}
	if err := in.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintf(os.Stderr, "soak: signal %v to %s: %v\n", sig, in.machine.Name, err)
	}
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the time to stop.
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

// shutdown ends the process for good.
func (in *instance) shutdown() {
	in.mu.Lock()
	in.stopped = true
	ended := in.ended
	in.mu.Unlock()
	in.signal(syscall.SIGKILL)
	<-ended
}

// check asks whether the instance takes new connections, as the platform's balancer does, until ctx ends.
func (in *instance) check(ctx context.Context) {
	client := &http.Client{Timeout: readyPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s:%d%s", in.machine.IP, in.machine.ReadyPort, platform.ReadyPath)
	misses := 0
	for ctx.Err() == nil {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
			in.ready.Store(true)
		} else if misses++; misses >= readyMisses {
			in.ready.Store(false)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyPeriod):
		}
	}
}
