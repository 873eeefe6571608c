package egretctl

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/internal/jsonreply"
	"github.com/egrethoist/egrethoist/internal/statusz"
	"github.com/egrethoist/egrethoist/internal/units"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Bounds of asking the fleet.
const (
	askTimeout = 2 * time.Second // of one process or store
	askers     = 32              // at once
	maxAnswer  = 16 << 20        // bytes of one answer
)

type statusJSON struct {
	revisionJSON
	Summary summary        `json:"summary"`
	Drained []string       `json:"drained"`
	Fleet   *statusz.Fleet `json:"fleet"`
}

// status shows the configuration in force and, as far as they were named and answer, the processes.
func (c *command) status(ctx context.Context) error {
	addresses, err := parseAddresses(c.admin)
	if err != nil {
		return err
	}
	cfg, w, err := c.inForce(ctx)
	if err != nil {
		return err
	}
	s := statusJSON{
		revisionJSON: revisionOf(w.Revision), Summary: summarize(cfg.Document), Drained: drained(cfg.Document),
		Fleet: statusz.NewFleet(w, askAll(ctx, addresses), dialStores(ctx, w)),
	}
	c.print(s, "revision %d, digest %x\n%s\ndrained: %s\n\n%s", s.Number, s.Digest[:6], s.Summary,
		cmp.Or(strings.Join(s.Drained, ", "), "none"), s.Fleet)
	return nil
}

func parseAddresses(list string) ([]string, error) {
	var out []string
	for _, text := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		var a units.Address
		if err := a.UnmarshalText([]byte(text)); err != nil {
			return nil, usage("--admin: %v", err)
		}
		out = append(out, a.String())
	}
	return out, nil
}

// askAll asks every process; one that does not answer is part of the picture, not a failure.
func askAll(ctx context.Context, addresses []string) []statusz.Answer {
	answers := make([]statusz.Answer, len(addresses))
	client := newStatusClient()
	defer client.CloseIdleConnections()
	var g errgroup.Group
	g.SetLimit(askers)
	for i, address := range addresses {
		g.Go(func() error {
			answers[i].Address = address
			p, err := ask(ctx, client, address)
			if err != nil {
				answers[i].Error = err.Error()
			}
			answers[i].Process = p
			return nil
		})
	}
	g.Wait()
	return answers
}

func newStatusClient() *http.Client {
	return &http.Client{Transport: httpclient.NewDefault(), CheckRedirect: jsonreply.NoRedirect}
}

func ask(ctx context.Context, client *http.Client, address string) (*statusz.Process, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/statusz", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("answered %s", resp.Status)
	}
	raw, err := jsonreply.Read(resp, maxAnswer)
	if err != nil {
		return nil, err
	}
	p := &statusz.Process{}
	if err := jsonreply.Decode(raw, p, "name", "revision"); err != nil {
		return nil, err
	}
	return p, nil
}

// dialStores tells which stores take connections from here.
func dialStores(ctx context.Context, w *world.World) []statusz.StoreState {
	states := make([]statusz.StoreState, 0, len(w.Stores))
	for _, s := range w.Stores {
		states = append(states, statusz.StoreState{Name: s.Name, FailureDomain: s.FailureDomain, Address: s.Address, Link: s.Link})
	}
	slices.SortFunc(states, func(a, b statusz.StoreState) int { return strings.Compare(a.Name, b.Name) })
	var wg sync.WaitGroup
	for i := range states {
		wg.Go(func() { states[i].Reachable = dials(ctx, states[i].Address) })
	}
	wg.Wait()
	return states
}

func dials(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: askTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
