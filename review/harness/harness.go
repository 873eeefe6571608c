// Package harness starts gateways of the project as processes, with stand-ins for the platform around them, for the scripts of the review.
package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
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

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Address is the loopback address of all parts.
const Address = "127.0.0.1"

// Record is the record of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

// NewRecord creates the record at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: bufio.NewWriter(f), file: f, start: time.Now()}, nil
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes out what is buffered.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

// Observer records what targets receive, and counts violations of rules that only the stand-ins can see. It implements standin.Observer.
type Observer struct {
	Record *Record

	mu         sync.Mutex
	violations map[string][]string // by rule
}

// NewObserver returns an observer without violations.
func NewObserver(r *Record) *Observer { return &Observer{Record: r, violations: map[string][]string{}} }

// Arrived implements standin.Observer.
func (o *Observer) Arrived(standin.Run) {}

// Ran implements standin.Observer.
func (o *Observer) Ran(r standin.Run) {
	o.Record.Printf("target %s runs %s, weights %d", r.Target, r.ID, r.Weights)
}

// Answered implements standin.Observer.
func (o *Observer) Answered(standin.Answer) {}

// Paused implements standin.Observer.
func (o *Observer) Paused(standin.Pause) {}

// Ordered implements standin.Observer.
func (o *Observer) Ordered(order standin.Order) {
	o.Record.Printf("target %s gets an order of %s, fencing token %d", order.Target, order.Holder, order.Token)
}

// Violation implements standin.Observer.
func (o *Observer) Violation(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	o.Record.Printf("RULE %s: %s", rule, text)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations[rule] = append(o.violations[rule], text)
}

// Violations returns the violations of a rule.
func (o *Observer) Violations(rule string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations[rule]...)
}

// MetaStore is the platform's metadata store, which can lose the answers of transactions and execute them late.
type MetaStore struct {
	*standin.MetaStore
	Record *Record
	lose   atomic.Pointer[Lose]
}

// Lose returns how long after its arrival a transaction is executed whose answer is lost. It returns false for one that is served as usual.
type Lose func(keys map[string][]byte) (time.Duration, bool)

// SetLose makes the store ask lose about each transaction.
func (m *MetaStore) SetLose(lose Lose) { m.lose.Store(&lose) }

// ServeHTTP implements http.Handler.
func (m *MetaStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/kv-txn") {
		m.MetaStore.ServeHTTP(w, r)
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var body struct {
		SetKeys []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"setKeys"`
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	keys := map[string][]byte{}
	for _, k := range body.SetKeys {
		keys[k.Key] = k.Value
	}
	execute := func(w http.ResponseWriter) {
		again := r.Clone(context.WithoutCancel(r.Context()))
		again.Body = io.NopCloser(bytes.NewReader(raw))
		m.MetaStore.ServeHTTP(w, again)
	}
	late, lost := time.Duration(0), false
	if lose := m.lose.Load(); lose != nil {
		late, lost = (*lose)(keys)
	}
	if !lost {
		answer := httptest.NewRecorder()
		execute(answer)
		for key, value := range keys {
			m.Record.Printf("store: %s = %s: %d", key, value, answer.Code)
		}
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // a caller that has gone needs no answer
		return
	}
	for key, value := range keys {
		m.Record.Printf("store: %s = %s: the answer is lost, executed in %v", key, value, late)
	}
	time.AfterFunc(late, func() {
		answer := httptest.NewRecorder()
		execute(answer)
		for key, value := range keys {
			m.Record.Printf("store: executes the lost call late: %s = %s: %d", key, value, answer.Code)
		}
	})
	<-r.Context().Done() // the connection returns nothing further
	panic(http.ErrAbortHandler)
}

// Serve serves a handler on a free port of Address until the process ends, and returns its address.
func Serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", Address+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }() // ends with the process
	return l.Addr().String(), nil
}

// freePorts returns the first of n consecutive ports that are free. They are below the usual ephemeral ports, which connections take.
func freePorts(n int) (int, error) {
	const lowest, highest = 10000, 32000
	for range 200 {
		first := lowest + rand.IntN(highest-lowest)
		free := true
		for port := first; port < first+n && free; port++ {
			free = portFree(port)
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive free ports", n)
}

func portFree(port int) bool {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", Address, port))
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", Address, port))
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}

// Gateway is a gateway process.
type Gateway struct {
	Name    string
	Front   string // address for callers
	program string
	conf    string
	log     string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// Unexpected is set if the process has ended without a signal of the harness.
	Unexpected atomic.Bool
	expected   atomic.Bool
}

// Program returns the gateway's program, as the deploy file builds it.
func Program() (string, error) {
	path, err := filepath.Abs(filepath.Join("target", "egret-gateway"))
	if err != nil {
		return "", err
	}
	_, err = os.Stat(path)
	return path, err
}

// settings are those of a front machine of the small deployment lrw-east-tx, as the wire examples show them.
const settings = `role=entry
machineClass=front
serves=front
region=etx
zones.lufkin=etx
zones.nacogdoches=etx
zones.jasper=etx
bootstrap=%v
lossCounts=false
limits.cpuShare=0.304
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.downgradeSlackMs=250
bounds.skewMaxMs=5000
bounds.revokeFailClosed=false
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retryBudgetExtra=56
bounds.coldOver=1.5
bounds.coldSlack=5
bounds.evacMs=5000
bounds.recoverS=12
bounds.transitMs=120
bounds.againS=20
bounds.fencingEnforced=true
bounds.leaseMs=3000
bounds.thawMs=300
bounds.versionMs=15000
bounds.versionAllMs=21000
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`

// StartGateway starts a gateway in a zone. Its settings and its log go to dir.
func StartGateway(dir, name, zone, store string) (*Gateway, error) {
	program, err := Program()
	if err != nil {
		return nil, err
	}
	const ports = 18 // front, ready, and the range for the other instances
	first, err := freePorts(ports)
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: name, Front: fmt.Sprintf("%s:%d", Address, first), program: program, conf: filepath.Join(dir, name+".conf"), log: filepath.Join(dir, name+".log")}
	text := fmt.Sprintf("nodeName=%s\nzone=%s\nip=%s\nlisten.front=%s\nlisten.ready=%s:%d\nportRange=%d,%d\nplatform.address=%s\n", name, zone, Address, g.Front, Address, first+1, first+2, first+ports-1, store) + settings
	if err := os.WriteFile(g.conf, []byte(fmt.Sprintf(text, true)), 0o600); err != nil {
		return nil, err
	}
	if err := g.Start(); err != nil {
		return nil, err
	}
	// The next starts are no first ones of the system.
	return g, os.WriteFile(g.conf, []byte(fmt.Sprintf(text, false)), 0o600)
}

// Start starts the process.
func (g *Gateway) Start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(g.program)
	cmd.Env = []string{"EGRETHOIST_NODE_FILE=" + g.conf, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	g.expected.Store(false)
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		if !g.expected.Load() {
			g.Unexpected.Store(true)
		}
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, which may end by it.
func (g *Gateway) Signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expected.Store(true)
	_ = g.cmd.Process.Signal(sig) // an error means that it has ended
}

// Kill ends the process and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGKILL)
	<-g.ended
}

// LastLine returns the last line of the log.
func (g *Gateway) LastLine() string {
	lines := g.Log("{")
	if len(lines) == 0 {
		return ""
	}
	return lines[len(lines)-1]
}

// Log returns the lines of the log that contain a text.
func (g *Gateway) Log(text string) []string {
	raw, err := os.ReadFile(g.log)
	if err != nil {
		return nil
	}
	var out []string
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// Proxy forwards TCP connections to a backend. It can fall silent.
type Proxy struct {
	Address string
	backend atomic.Pointer[string]
	silent  atomic.Bool

	mu    sync.Mutex
	conns map[*proxyConn]bool
}

type proxyConn struct {
	client, server net.Conn
	dead           atomic.Bool // carries nothing any more
}

// NewProxy returns a proxy on a free port, without a backend.
func NewProxy() (*Proxy, error) {
	l, err := net.Listen("tcp4", Address+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), conns: map[*proxyConn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

// SetBackend sets the address to which new connections go.
func (p *Proxy) SetBackend(address string) { p.backend.Store(&address) }

// Silence makes the backend silent, as a machine without power: present connections carry nothing any more and new ones get no answer.
func (p *Proxy) Silence() {
	p.silent.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.dead.Store(true)
	}
}

// Restore serves new connections again. Those of before stay silent.
func (p *Proxy) Restore() { p.silent.Store(false) }

func (p *Proxy) forward(client net.Conn) {
	backend := p.backend.Load()
	if backend == nil {
		_ = client.Close()
		return
	}
	c := &proxyConn{client: client}
	if p.silent.Load() {
		c.dead.Store(true)
		_, _ = io.Copy(io.Discard, client) // until the client gives up
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp4", *backend)
	if err != nil {
		_ = client.Close()
		return
	}
	c.server = server
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copy(server, client) })
	both.Go(func() { c.copy(client, server) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards one direction. The end of a connection that is dead reaches the other side only from the client.
func (c *proxyConn) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.dead.Load() {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if c.dead.Load() && from == c.server {
		return
	}
	_ = to.Close()
	_ = from.Close()
}

// Done sleeps until ctx ends or d has passed, and reports whether ctx has ended.
func Done(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return true
	case <-time.After(d):
		return false
	}
}
