package egretctl

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/control"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/units"
	"github.com/egrethoist/egrethoist/internal/world"
)

type summary struct {
	Name           string `json:"name"`
	FailureDomains int    `json:"failure_domains"`
	Services       int    `json:"services"`
	Targets        int    `json:"targets"`
	Stores         int    `json:"stores"`
	Workspaces     int    `json:"workspaces"`
	WeightVersions int    `json:"weight_versions"`
}

func summarize(doc *manifest.Document) summary {
	s := summary{
		Name: doc.Name, FailureDomains: len(doc.FailureDomains), Services: len(doc.Services),
		Stores: len(doc.Stores), Workspaces: len(doc.Workspaces), WeightVersions: len(doc.WeightVersions),
	}
	for _, v := range doc.Services {
		s.Targets += len(v.Targets)
	}
	return s
}

func (s summary) String() string {
	return fmt.Sprintf("%s: %d failure domains, %d services with %d targets, %d stores, %d workspaces, %d weight versions",
		s.Name, s.FailureDomains, s.Services, s.Targets, s.Stores, s.Workspaces, s.WeightVersions)
}

type revisionJSON struct {
	Number uint64     `json:"revision"`
	Digest units.Hash `json:"digest"`
	Parent units.Hash `json:"parent"`
}

func revisionOf(r world.Revision) revisionJSON {
	return revisionJSON{r.Number, units.Hash(r.Digest), units.Hash(r.Parent)}
}

type resultJSON struct {
	revisionJSON
	ApplyID   string `json:"apply_id"`
	Unchanged bool   `json:"unchanged,omitempty"`
	Repeated  bool   `json:"repeated,omitempty"`
}

type diffJSON struct {
	Changes []control.Change `json:"changes"`
}

type getJSON struct {
	revisionJSON
	ApplyID  string          `json:"apply_id"`
	Manifest json.RawMessage `json:"manifest"`
}

func (c *command) validate(context.Context) error {
	doc, err := c.document()
	if err != nil {
		return err
	}
	c.print(summarize(doc), "%s", summarize(doc))
	return nil
}

// current returns the configuration in force; its Document is nil before the first apply.
func (c *command) current(ctx context.Context) (*control.Config, error) {
	ctl, err := c.controller()
	if err != nil {
		return nil, err
	}
	return ctl.Get(ctx)
}

// inForce returns the configuration in force and its world; an error if there is none yet.
func (c *command) inForce(ctx context.Context) (*control.Config, *world.World, error) {
	cfg, err := c.current(ctx)
	if err != nil {
		return nil, nil, err
	}
	if cfg.Document == nil {
		return nil, nil, trace.NotFound("no configuration is in force")
	}
	w := cfg.Document.World()
	w.Revision = cfg.Head.Lineage.Revision
	return cfg, w, nil
}

func (c *command) diff(ctx context.Context) error {
	doc, err := c.document()
	if err != nil {
		return err
	}
	cfg, err := c.current(ctx)
	if err != nil {
		return err
	}
	changes := control.Diff(cfg.Document, doc)
	lines := make([]string, len(changes))
	for i, ch := range changes {
		lines[i] = fmt.Sprintf("%s: %s -> %s", ch.Path, orAbsent(ch.Old), orAbsent(ch.New))
	}
	c.print(diffJSON{changes}, "%s", strings.Join(lines, "\n"))
	if len(changes) > 0 {
		return &differentError{len(changes)}
	}
	return nil
}

func orAbsent(s string) string {
	if s == "" {
		return "(absent)"
	}
	return s
}

func (c *command) apply(ctx context.Context) error {
	doc, err := c.document()
	if err != nil {
		return err
	}
	ctl, err := c.controller()
	if err != nil {
		return err
	}
	res, err := ctl.Apply(ctx, doc, control.ApplyOptions{
		ApplyID: c.applyID, Expect: c.expect, RemoveUndrained: c.removeUndrained,
	})
	if err != nil {
		return err
	}
	c.result(res)
	return nil
}

func (c *command) result(res *control.Result) {
	what := "applied"
	switch {
	case res.Unchanged:
		what = "unchanged"
	case res.Repeated:
		what = "already applied"
	}
	c.print(resultJSON{revisionOf(res.Revision), res.ApplyID, res.Unchanged, res.Repeated},
		"%s: revision %d, digest %x, apply id %s", what, res.Revision.Number, res.Revision.Digest[:6], res.ApplyID)
}

func (c *command) get(ctx context.Context) error {
	cfg, _, err := c.inForce(ctx)
	if err != nil {
		return err
	}
	c.print(getJSON{revisionOf(cfg.Head.Lineage.Revision), cfg.Head.ApplyIDs[0], cfg.Canonical}, "%s", cfg.Canonical)
	return nil
}

func drained(doc *manifest.Document) []string {
	list := []string{}
	for _, d := range doc.FailureDomains {
		if d.Drained != nil && *d.Drained {
			list = append(list, "failure-domain "+d.Name)
		}
	}
	for _, s := range doc.Services {
		for _, t := range s.Targets {
			if t.Drained != nil && *t.Drained {
				list = append(list, "target "+t.Name)
			}
		}
	}
	return list
}

func (c *command) setDrained(ctx context.Context, drained bool) error {
	kind := control.Kind(c.kind)
	if kind != control.KindFailureDomain && kind != control.KindTarget {
		return usage("KIND must be %s or %s", control.KindFailureDomain, control.KindTarget)
	}
	ctl, err := c.controller()
	if err != nil {
		return err
	}
	res, err := ctl.SetDrained(ctx, kind, c.name, drained, c.applyID)
	if err != nil {
		return err
	}
	c.result(res)
	return nil
}
