// Package lab runs gateway processes on loopback addresses for the cases 6 to 10 of the review, with the project's stand-ins of the platform's
// store, the operator, the servers and the KV-cache stores around them. The cases add their own clients and disruptions.
package lab

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// Program is the gateway as the build line of the deploy file leaves it, relative to the root of the repository.
const Program = "target/egret-gateway"

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// readyInterval is the time between two questions of the platform whether an instance is ready; two misses take it out.
const readyInterval = time.Second

// graceTime is the time between SIGTERM and SIGKILL.
const graceTime = 8 * time.Second

// Lab is a deployment. The zero value is not usable; see New.
type Lab struct {
	Store     *standin.MetaStore
	StoreAddr string
	Operator  standin.Operator
	Parts     *standin.Directory
	Record    *Record
	Gateways  []*Gateway

	dir    string
	server *http.Server
	ended  chan struct{} // closed by Close
}

// New starts the platform's store. The caller must call Close.
func New(r *Record) (*Lab, error) {
	dir, err := os.MkdirTemp("", "egrethoist-review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	lab := &Lab{
		Store: standin.NewMetaStore(), StoreAddr: l.Addr().String(), Parts: standin.NewDirectory(), Record: r, dir: dir, ended: make(chan struct{}),
	}
	lab.Operator = standin.Operator{Store: lab.Store}
	lab.server = &http.Server{Handler: withoutEra{lab.Store}}
	go func() { _ = lab.server.Serve(l) }() // returns after Close
	return lab, nil
}

// withoutEra removes the header with the era of the store, which the pages in force don't have.
type withoutEra struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (h withoutEra) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Handler.ServeHTTP(eraless{w}, r)
}

type eraless struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w eraless) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// Close ends all processes and removes the files. It first copies the logs of the instances to the folder that the variable LOGS names.
func (l *Lab) Close() {
	close(l.ended)
	for _, g := range l.Gateways {
		g.end()
	}
	_ = l.server.Close()
	if to := os.Getenv("LOGS"); to != "" {
		for _, g := range l.Gateways {
			_ = os.WriteFile(filepath.Join(to, g.Name+".log"), []byte(g.Log()), 0o600)
		}
	}
	_ = os.RemoveAll(l.dir)
}

// Gateway is one instance of the program.
type Gateway struct {
	Name, Zone string
	Front      string // IP:port for clients
	ready      atomic.Bool
	frozen     atomic.Bool
	readyAddr  string
	settings   string // path of the file
	log        string // path of the file

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{} // closed when process has exited
	ending  bool          // a signal of the lab ends the process
}

// StartGateway starts an instance on a loopback address of its own.
func (l *Lab) StartGateway(zone string, zones []string) (*Gateway, error) {
	n := len(l.Gateways) + 1
	ip := fmt.Sprintf("127.30.0.%d", n)
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("front-%s-%d", zone, n)
	g := &Gateway{
		Name: name, Zone: zone, Front: fmt.Sprintf("%s:%d", ip, ports[0]), readyAddr: fmt.Sprintf("%s:%d", ip, ports[1]),
		settings: filepath.Join(l.dir, name+".conf"), log: filepath.Join(l.dir, name+".log"),
	}
	text := settings(name, zone, zones, ip, ports, l.StoreAddr)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := g.Start(); err != nil {
		return nil, err
	}
	l.Gateways = append(l.Gateways, g)
	go g.pollReady(l.ended)
	return g, nil
}

// settings returns a settings file with the figures of the site lrw-east-tx.
func settings(name, zone string, zones []string, ip string, ports []int, store string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName=%s\nrole=entry\nmachineClass=front\nserves=front\nip=%s\nzone=%s\nregion=etx\n", name, ip, zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "zones.%s=etx\n", z)
	}
	fmt.Fprintf(&b, "listen.front=%s:%d\nlisten.ready=%s:%d\nportRange=%d,%d\nbootstrap=true\n", ip, ports[0], ip, ports[1], ports[2], ports[2])
	fmt.Fprintf(&b, "limits.cpuShare=0.304\nlimits.cores=1\nlimits.memoryMb=284\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nheartbeatMs=%d\n", standin.HeartbeatInterval.Milliseconds())
	b.WriteString("contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform\n")
	for _, bound := range []string{
		"contactMs=3000", "drainMs=2000", "graceS=8", "lossSlackMs=200", "configApplyMs=2000", "downgradeSlackMs=250", "skewMaxMs=5000", "retryBudgetRatio=0.2",
		"budgetWindowS=10", "retryBudgetExtra=56", "coldOver=1.5", "coldSlack=5", "evacMs=5000", "recoverS=12", "fencingEnforced=true", "leaseMs=3000",
		"thawMs=300", "versionMs=15000", "versionAllMs=21000",
	} {
		b.WriteString("bounds." + bound + "\n")
	}
	fmt.Fprintf(&b, "platform.address=%s\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n", store)
	b.WriteString("platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n")
	return b.String()
}

// freePorts returns ports of a loopback address that were free a moment ago.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// Start starts the process, also again after it has exited.
func (g *Gateway) Start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(Program)
	cmd.Env = []string{"EGRETHOIST_NODE_FILE=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.process, g.exited, g.ending = cmd, exited, false
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ending = g.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	return g.process.Process.Signal(s)
}

// Freeze stops the process for a time, as when its machine freezes.
func (g *Gateway) Freeze(d time.Duration) error {
	g.frozen.Store(true)
	defer g.frozen.Store(false)
	if err := g.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return g.Signal(syscall.SIGCONT)
}

// Exited reports whether the process has exited, and whether a signal of the lab has ended it.
func (g *Gateway) Exited() (exited, asked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.exited:
		return true, g.ending
	default:
		return false, g.ending
	}
}

// Pid returns the ID of the process.
func (g *Gateway) Pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process.Process.Pid
}

// Log returns what the process has written so far.
func (g *Gateway) Log() string {
	raw, _ := os.ReadFile(g.log) // an unreadable log is an empty one
	return string(raw)
}

// Await waits until the process has exited, and kills it after the time that the platform gives it.
func (g *Gateway) Await() {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		_ = g.Signal(syscall.SIGKILL)
		<-exited
	}
}

func (g *Gateway) end() {
	if exited, _ := g.Exited(); exited {
		return
	}
	_ = g.Signal(syscall.SIGKILL)
	g.Await()
}

// Ready reports whether the platform gives the instance new connections.
func (g *Gateway) Ready() bool { return g.ready.Load() }

func (g *Gateway) pollReady(ended <-chan struct{}) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for misses := 0; ; {
		resp, err := client.Get("http://" + g.readyAddr + "/egrethoist/ready")
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
			g.ready.Store(true)
		} else if misses++; misses >= 2 {
			g.ready.Store(false)
		}
		select {
		case <-ended:
			return
		case <-time.After(readyInterval):
		}
	}
}

// ErrNotReady is returned by AwaitReady.
var ErrNotReady = errors.New("an instance is not ready in time")

// AwaitReady waits until all instances are ready.
func (l *Lab) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range l.Gateways {
			if g.Ready() {
				ready++
			}
		}
		if ready == len(l.Gateways) {
			return nil
		}
	}
	return ErrNotReady
}
