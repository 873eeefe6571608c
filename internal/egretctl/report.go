package egretctl

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/burn"
	"github.com/egrethoist/egrethoist/internal/burn/page"
	"github.com/egrethoist/egrethoist/internal/burn/store"
	"github.com/egrethoist/egrethoist/internal/world"
)

// report shows how fast services use up their error budgets.
func (c *command) report(ctx context.Context) error {
	_, w, err := c.inForce(ctx)
	if err != nil {
		return err
	}
	kv, err := c.dial()
	if err != nil {
		return err
	}
	now, window, reader := time.Now(), longestWindow(w), store.NewReader(kv)
	if c.fold {
		if err := reader.Fold(ctx, now, window); err != nil {
			return err
		}
	}
	history, err := reader.Read(ctx, now, window)
	if err != nil {
		return err
	}
	p := page.New(w, burn.Evaluate(w, history, now))
	if err := c.writePage(p); err != nil {
		return err
	}
	c.print(p, "%s", p.Text())
	return nil
}

// writePage replaces the file whole, so that a browser never loads half a page.
func (c *command) writePage(p *page.Report) error {
	if c.html == "" {
		return nil
	}
	var buf bytes.Buffer
	if err := p.HTML(&buf); err != nil {
		return err
	}
	partial := c.html + ".partial"
	if err := os.WriteFile(partial, buf.Bytes(), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.Rename(partial, c.html))
}

// longestWindow returns the longest window that any alert or budget needs.
func longestWindow(w *world.World) time.Duration {
	longest := time.Duration(0)
	for _, r := range burn.Rules() {
		longest = max(longest, r.Long)
	}
	for _, s := range w.Services {
		for _, o := range s.Objectives {
			longest = max(longest, o.BudgetWindow)
		}
	}
	return longest
}
