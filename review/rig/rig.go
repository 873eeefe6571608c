// Package rig starts gateways as processes for the scripts of review/6 to review/8, with what these need of clients and the platform.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

const (
	// Model is the model of all requests.
	Model = "daka510000"
	// Host is the host of all requests.
	Host = "pule25.example"
	// Service is the service of the model servers.
	Service = "lode27a"
	// Prefix is the prefix of the route to Service.
	Prefix = "/puxa400/"
)

var (
	began  = time.Now()
	noteMu sync.Mutex
	record io.Writer = io.Discard
)

// Note writes a line to the record and to the standard output.
func Note(format string, a ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(began).Seconds()) + fmt.Sprintf(format, a...)
	fmt.Fprintln(record, line)
	fmt.Println(line)
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// The gateways end when the thread ends that has started them, so that is the main one.
func init() { runtime.LockOSThread() }

// Main runs a case with the arguments PROGRAM RECORD and ends the process with its result.
func Main(run func(trouble bool, d *Deployment) (broken int, err error)) {
	os.Exit(main(run))
}

func main(run func(trouble bool, d *Deployment) (broken int, err error)) int {
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	defer file.Close()
	record = file
	d, err := newDeployment(os.Args[1])
	if err != nil {
		Note("could not run: %v", err)
		return 2
	}
	defer d.close()
	go d.endEarly()
	broken, err := run(os.Getenv("TROUBLE") != "0", d)
	switch {
	case err != nil:
		Note("could not run: %v", err)
		return 2
	case broken > 0:
		return 1
	}
	return 0
}

// Deployment is the metadata store and the gateways.
type Deployment struct {
	Store    *standin.MetaStore
	Operator standin.Operator
	Gateways []*Gateway

	program, dir, storeAddress string
}

func newDeployment(program string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: standin.NewMetaStore(), program: program, dir: dir}
	d.Operator = standin.Operator{Store: d.Store}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, d.Store) }()
	return d, nil
}

// maxTime is how long a case may run.
const maxTime = 115 * time.Second

// endEarly ends the case if it is interrupted or takes too long. The gateways end with this process.
func (d *Deployment) endEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-interrupted:
		Note("could not run: %v", s)
	case <-time.After(maxTime):
		Note("could not run: not done after %v", maxTime)
	}
	_ = os.RemoveAll(d.dir)
	os.Exit(2)
}

func (d *Deployment) close() {
	for _, g := range d.Gateways {
		_ = g.Process.Process.Kill()
		_ = g.Process.Wait()
	}
	_ = os.RemoveAll(d.dir)
}

// Config returns a configuration with one resumable route to model servers and two tenants.
func Config(version uint64) standin.Config {
	return standin.Config{
		Version: version, Limits: standin.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 5000, IdleMs: 15000},
		Routes:     []standin.Route{{Name: "r-1", Host: Host, Prefix: Prefix, Kind: "streaming", TimeoutMs: 4000, TargetLatencyMs: 1000, Service: Service, MaxAttempts: 2, Resumable: true, StickySessions: true}},
		Services:   []standin.Service{{Name: Service, MaxConns: 370, ColdStartS: 3, ColdPerS: 12, Engine: &standin.Engine{Slots: 64, CapacityTokens: 80086, MaxReaders: 12, Models: []standin.Model{{Name: Model}}}}},
		Workspaces: []standin.Workspace{{Name: "jeye930", Keys: []string{"key-jeye930"}}, {Name: "zibo746", Keys: []string{"key-zibo746"}}},
	}
}

// StartGateways starts gateways and waits until they are ready.
func (d *Deployment) StartGateways(count int) error {
	for n := 1; n <= count; n++ {
		g, err := startGateway(n, d.dir, d.program, d.storeAddress)
		if err != nil {
			return err
		}
		d.Gateways = append(d.Gateways, g)
	}
	for _, g := range d.Gateways {
		if err := awaitReady(g); err != nil {
			return err
		}
	}
	return nil
}

// Link is a proxy that can hold back everything, as for a machine that the store does not answer.
type Link struct {
	address string
	Cut     atomic.Bool
}

func newLink(backend string) (*Link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				s, err := net.Dial("tcp4", backend)
				if err != nil {
					_ = c.Close()
					return
				}
				pipe := func(to, from net.Conn) {
					b := make([]byte, 32<<10)
					for {
						n, err := from.Read(b)
						for k.Cut.Load() {
							time.Sleep(20 * time.Millisecond)
						}
						if n > 0 {
							if _, err := to.Write(b[:n]); err != nil {
								break
							}
						}
						if err != nil {
							break
						}
					}
					_ = to.Close()
					_ = from.Close()
				}
				go pipe(s, c)
				pipe(c, s)
			}()
		}
	}()
	return k, nil
}

// Gateway is a process of the gateway.
type Gateway struct {
	Name, front, ready string
	Link               *Link // to the metadata store
	Process            *exec.Cmd
}

// freePorts returns a port from which 30 on are free at an address.
func freePorts(ip string) (int, error) {
	for base := 21000; base < 60000; base += 37 {
		free := true
		for p := base; p < base+30 && free; p++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

func startGateway(n int, dir, program, store string) (*Gateway, error) {
	ip := fmt.Sprintf("127.0.71.%d", n)
	base, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	k, err := newLink(store)
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: fmt.Sprintf("front-meseta-a-%d", n), front: fmt.Sprintf("%s:%d", ip, base), ready: fmt.Sprintf("%s:%d", ip, base+1), Link: k}
	lines := []string{
		"nodeName=" + g.Name, "role=entry", "machineClass=front", "serves=front", "ip=" + ip, "zone=meseta-a", "region=meseta-central", "zones.meseta-a=meseta-central",
		"listen.front=" + g.front, "listen.ready=" + g.ready, fmt.Sprintf("portRange=%d,%d", base+5, base+20), "bootstrap=true", "limits.cpuShare=0.304", "limits.cores=1",
		"limits.memoryMb=134", "limits.maxFds=4100", "limits.linkMbps=1000.0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform", "bounds.contactMs=3000", "bounds.drainMs=2000", "bounds.graceS=8",
		"bounds.configApplyMs=2000", "bounds.skewMaxMs=5000", "bounds.revokeFailClosed=false", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.retryBudgetExtra=58",
		"bounds.coldOver=1.5", "bounds.coldSlack=5", "bounds.evacMs=5000", "bounds.fencingEnforced=true", "bounds.leaseMs=3000", "bounds.versionMs=10000",
		"platform.address=" + k.address, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
	}
	file := filepath.Join(dir, g.Name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(dir, g.Name+".log"))
	if err != nil {
		return nil, err
	}
	g.Process = exec.Command(program)
	g.Process.Env = append(os.Environ(), "EGRETHOIST_NODE_FILE="+file)
	g.Process.Stdout, g.Process.Stderr = output, output
	g.Process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g, g.Process.Start()
}

// Call sends a request of a tenant to a gateway. It returns the status of the answer, zero if that is not whole.
func Call(g *Gateway, id, key, prefix string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+Prefix+"2f", strings.NewReader("prompt"))
	req.Host = Host
	for name, value := range map[string]string{"Attempt-Id": id, "Model": Model, "Token-Usage": "1460,80", "Prompt-Prefix": prefix, "Deadline-Ms": "4000", "Authorization": "Bearer " + key} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		Note("client: request %s with %s: %v", id, key, err)
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	Note("client: request %s with %s: %d, %d bytes, %v", id, key, resp.StatusCode, len(body), err)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

func awaitReady(g *Gateway) error {
	for range 100 {
		if resp, err := http.Get("http://" + g.ready + "/egrethoist/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", g.Name)
}
