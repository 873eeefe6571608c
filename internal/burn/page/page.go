// Package page shows a burn report: as typed JSON, as text, and as one self-contained HTML page.
package page

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/burn"
	"github.com/egrethoist/egrethoist/internal/units"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Report is what is shown. Lines come most urgent first.
type Report struct {
	Name     string    `json:"name"`
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Pages    int       `json:"pages"`   // lines that page
	Tickets  int       `json:"tickets"` // lines that raise a ticket
	Lines    []Line    `json:"lines"`
}

// Line is one objective of a service for one workspace, or for all of them ("*").
type Line struct {
	Workspace  string        `json:"workspace"`
	Service    string        `json:"service"`
	Objective  Objective     `json:"objective"`
	Severity   burn.Severity `json:"severity"` // empty, "ticket" or "page"
	Rule       string        `json:"rule,omitempty"`
	Total      burn.Count    `json:"total"` // over the budget window
	BudgetLeft float64       `json:"budget_left"`
	Windows    []Window      `json:"windows"`
	Burnt      Burnt         `json:"burnt"`
	Hours      []burn.Count  `json:"hours"` // oldest first
}

// Objective is an objective as the manifest has it.
type Objective struct {
	Name         string         `json:"name"`
	Target       float64        `json:"target"`
	Threshold    units.Duration `json:"threshold,omitempty"`
	BudgetWindow units.Duration `json:"budget_window"`
}

// Window is the burn over a window that ends at the report's time.
type Window struct {
	Length units.Duration `json:"window"`
	Good   uint64         `json:"good"`
	Bad    uint64         `json:"bad"`
	Burn   float64        `json:"burn"`
}

// Burnt tells what used up the budget.
type Burnt struct {
	FailureDomains []burn.Share `json:"failure_domains"`
	Causes         []burn.Share `json:"causes"`
	Instances      []burn.Share `json:"instances"`
}

// New returns the report to show for a configuration.
func New(w *world.World, r *burn.Report) *Report {
	p := &Report{Name: w.Name, Revision: w.Revision.Number, At: r.At.UTC(), Lines: []Line{}}
	for i := range r.Lines {
		l := newLine(&r.Lines[i])
		switch l.Severity {
		case burn.SeverityPage:
			p.Pages++
		case burn.SeverityTicket:
			p.Tickets++
		}
		p.Lines = append(p.Lines, l)
	}
	return p
}

func newLine(b *burn.Line) Line {
	o := b.Objective
	l := Line{
		Workspace: b.Workspace, Service: b.Service, Severity: b.Severity,
		Objective: Objective{o.Name, o.Target, units.Duration(o.Threshold), units.Duration(o.BudgetWindow)},
		Total:     b.Total, BudgetLeft: b.BudgetLeft, Hours: b.Hours,
		Burnt: Burnt{b.FailureDomains, b.Causes, b.Instances},
	}
	for _, w := range b.Windows {
		l.Windows = append(l.Windows, Window{units.Duration(w.Length), w.Count.Good, w.Count.Bad, w.Burn})
	}
	slices.SortFunc(l.Windows, func(a, b Window) int { return cmp.Compare(a.Length, b.Length) })
	l.Windows = slices.CompactFunc(l.Windows, func(a, b Window) bool { return a.Length == b.Length })
	if r := b.Rule; r != nil {
		l.Rule = fmt.Sprintf("burn of %g or more over %s and %s", r.Burn, short(r.Long), short(r.Short))
	}
	return l
}

// short writes a window's length without zero parts.
func short(d time.Duration) string {
	switch {
	case d >= 48*time.Hour && d%(24*time.Hour) == 0:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d >= time.Hour && d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	case d >= time.Minute && d%time.Minute == 0:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
	return d.String()
}

// State is the severity in words. An objective that is missed is not called ok, though it may alert no more.
func (l *Line) State() string {
	switch {
	case l.Severity != burn.SeverityNone:
		return string(l.Severity)
	case l.BudgetLeft < 0:
		return "missed"
	}
	return "ok"
}

// Promise is the objective in words.
func (o *Objective) Promise() string {
	target := strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.4f", 100*o.Target), "0"), ".")
	if o.Threshold == 0 {
		return fmt.Sprintf("%s %s%%", o.Name, target)
	}
	return fmt.Sprintf("%s %s%% within %s", o.Name, target, time.Duration(o.Threshold))
}

// number writes a burn rate.
func number(burn float64) string {
	switch {
	case burn >= 100:
		return fmt.Sprintf("%.0f", burn)
	case burn >= 10:
		return fmt.Sprintf("%.1f", burn)
	}
	return fmt.Sprintf("%.2f", burn)
}

// Left is the budget left, or how many times the budget has been used if it is overspent.
func (l *Line) Left() string {
	if l.BudgetLeft >= 0 {
		return fmt.Sprintf("%.1f%%", 100*l.BudgetLeft)
	}
	return number(1-l.BudgetLeft) + "×"
}

// LeftOf says what Left is a figure of.
func (l *Line) LeftOf() string {
	window := short(time.Duration(l.Objective.BudgetWindow))
	if l.BudgetLeft >= 0 {
		return "budget left of " + window
	}
	return window + " budget used"
}

// list writes shares in words.
func list(shares []burn.Share) string {
	words := make([]string, len(shares))
	for i, s := range shares {
		words[i] = fmt.Sprintf("%s %.0f%%", s.Name, 100*s.Part)
	}
	return strings.Join(words, ", ")
}

// Text returns the report in plain text, one paragraph for each line.
func (p *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, revision %d, %s: %d objectives page, %d raise a ticket\n",
		p.Name, p.Revision, p.At.Format(time.RFC3339), p.Pages, p.Tickets)
	if len(p.Lines) == 0 {
		b.WriteString("no requests have been counted\n")
	}
	for i := range p.Lines {
		p.Lines[i].text(&b)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func (l *Line) text(b *strings.Builder) {
	fmt.Fprintf(b, "\n%-6s %s, workspace %s: %s\n", strings.ToUpper(l.State()), l.Service, l.Workspace, l.Objective.Promise())
	fmt.Fprintf(b, "  %s %s (%d good, %d bad)\n", l.Left(), l.LeftOf(), l.Total.Good, l.Total.Bad)
	b.WriteString("  burn")
	for _, w := range l.Windows {
		fmt.Fprintf(b, "  %s %s", short(time.Duration(w.Length)), number(w.Burn))
	}
	b.WriteString("\n")
	if l.Rule != "" {
		fmt.Fprintf(b, "  %s: %s\n", l.Severity, l.Rule)
	}
	if l.Total.Bad > 0 {
		fmt.Fprintf(b, "  burnt by failure domain: %s\n  by cause: %s\n  by instance: %s\n",
			list(l.Burnt.FailureDomains), list(l.Burnt.Causes), list(l.Burnt.Instances))
	}
}
