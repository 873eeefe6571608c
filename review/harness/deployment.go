package harness

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// Names in the configuration of a Deployment.
const (
	Host  = "plans.example"
	Model = "m"
	plans = "planner"
)

// Zones are the zones of a Deployment. Each has one gateway.
var Zones = []string{"lufkin", "nacogdoches", "jasper"}

// DeploymentOptions configure a Deployment.
type DeploymentOptions struct {
	Case          string // folder under review/
	Engines       int
	StoreCapacity int           // tokens
	Transfer      time.Duration // added to each transfer of the KV-cache store
}

// Tenants are the tenants of a Deployment. The key of each is its name with the prefix "key-".
var Tenants = []string{"mill", "buyer"}

// Deployment is a small deployment: a gateway in each zone, model engines, a KV-cache store and the platform's metadata store.
type Deployment struct {
	Record   *Record
	Observer *Observer
	Meta     *MetaStore
	Operator standin.Operator
	Parts    *standin.PartStore
	Link     *Proxy // before Parts
	Gateways []*Gateway
	Callers  *Callers
	Config   standin.Config // the newest one
	// Directory knows which tenants are isolated, for the check of WALL.
	Directory *standin.Directory
	dir       string
}

// NewDeployment starts all parts.
func NewDeployment(o DeploymentOptions) (*Deployment, error) {
	d, err := startDeployment(o)
	if err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// startDeployment returns what was started also after an error.
func startDeployment(o DeploymentOptions) (*Deployment, error) {
	d := &Deployment{}
	var err error
	if d.dir, err = os.MkdirTemp("", "review-"+filepath.Base(o.Case)+"-"); err != nil {
		return d, err
	}
	if d.Record, err = NewRecord(filepath.Join("review", o.Case, "record.txt")); err != nil {
		return d, err
	}
	d.Observer, d.Callers = NewObserver(d.Record), NewCallers(d.Record)
	d.Meta = &MetaStore{MetaStore: standin.NewMetaStore(), Record: d.Record}
	d.Operator = standin.Operator{Store: d.Meta.MetaStore}
	meta, err := Serve(d.Meta)
	if err != nil {
		return d, err
	}
	d.Directory = standin.NewDirectory()
	if d.Link, err = NewProxy(); err != nil {
		return d, err
	}
	const readers = 12
	parts, local, err := standin.StartPartStore(d.Directory, d.Link.Address, Address, o.StoreCapacity, readers)
	if err != nil {
		return d, err
	}
	d.Parts = parts
	d.Link.SetBackend(local)
	d.Parts.TransferDelay.Store(int64(o.Transfer))
	const slots = 128
	d.Config = standin.Config{
		Version: 1, Limits: standin.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 30000},
		Services: []standin.Service{
			{Name: plans, MaxConns: 620, Engine: &standin.Engine{Slots: slots, CapacityTokens: 130_000, MaxReaders: 1, Managed: true, Models: []standin.Model{{Name: Model}}}},
			{Name: "kept", KVStoreAddress: d.Link.Address, Domain: Zones[0], CapacityTokens: o.StoreCapacity, LinkMbps: 10_000, MaxReaders: readers, Managed: true},
		},
		Routes: []standin.Route{{
			Name: "plan", Host: Host, Prefix: "/plan/", Kind: "streaming", TimeoutMs: 15000, TargetLatencyMs: 800, Service: plans, MaxAttempts: 2, Resumable: true, StickySessions: true,
		}},
	}
	for _, name := range Tenants {
		d.Config.Workspaces = append(d.Config.Workspaces, standin.Workspace{Name: name, Keys: []string{"key-" + name}})
	}
	d.Operator.Configure(d.Config)
	d.Operator.SetWeightVersion(Model, 1)
	for i := range o.Engines {
		link, err := NewProxy()
		if err != nil {
			return d, err
		}
		t, err := standin.StartTarget(standin.TargetOptions{
			ID: fmt.Sprintf("i-%02d", i), Service: plans, Domain: Zones[i%len(Zones)], Public: link.Address, Model: Model, Weights: 1, Software: "v1", Slots: slots,
			Store: d.Meta.MetaStore, Parts: d.Directory, Observer: d.Observer, Seed: uint64(i),
		}, Address)
		if err != nil {
			return d, err
		}
		link.SetBackend(t.ListenAddress)
	}
	for i, zone := range Zones {
		g, err := StartGateway(d.dir, fmt.Sprintf("front-%s-%d", zone, i), zone, meta)
		if err != nil {
			return d, err
		}
		d.Gateways = append(d.Gateways, g)
	}
	return d, nil
}

// Plan sends a tenant's request for a plan to a gateway. Its prompt has a part that others share, and one of its own.
func (d *Deployment) Plan(ctx context.Context, tenant string, gateway int, part, own string, tokens, events int) {
	const ownTokens = 64
	d.Callers.Send(ctx, d.Gateways[gateway].Front, standin.Call{
		Host: Host, Path: "/plan/x", Body: "{}", Key: "key-" + tenant, Patience: 15 * time.Second, Model: Model, Prompt: tokens + ownTokens, Output: events,
		Parts: []standin.Part{{ID: part, Tokens: tokens}, {ID: own, Tokens: ownTokens}},
	})
}

// CheckGateways records the lines of the gateways' logs that contain a text. It returns an error if a gateway has ended by itself.
func (d *Deployment) CheckGateways(text string) error {
	for _, g := range d.Gateways {
		for _, line := range g.Log(text) {
			d.Record.Printf("log of %s: %s", g.Name, line)
		}
		if g.Unexpected.Load() {
			return fmt.Errorf("gateway %s has ended by itself: %s", g.Name, g.LastLine())
		}
	}
	return nil
}

// Verdict prints the result of a case and returns its exit code. It returns an error if the case could not run.
func (d *Deployment) Verdict(rule string, trouble bool) (int, error) {
	broken := d.Observer.Violations(rule)
	c := d.Callers
	fmt.Printf("trouble %t: %d requests sent, %d served, %d refused; %s broken %d times\n", trouble, c.Sent.Load(), c.OK.Load(), c.Refused.Load(), rule, len(broken))
	for i, text := range broken {
		if i < 3 {
			fmt.Println("  " + text)
		}
	}
	if len(broken) > 0 {
		return ExitBroken, nil
	}
	if c.OK.Load() < c.Sent.Load()/2 {
		return ExitNotRun, fmt.Errorf("too few requests are served")
	}
	return ExitHeld, nil
}

// Close ends all processes and removes the temporary folder.
func (d *Deployment) Close() {
	for _, g := range d.Gateways {
		g.Kill()
	}
	if d.Record != nil {
		_ = d.Record.Close()
	}
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}
