package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/world"
)

// Severity of an alert.
type Severity string

// Severities, from none to the one that wakes somebody.
const (
	SeverityNone   Severity = ""
	SeverityTicket Severity = "ticket"
	SeverityPage   Severity = "page"
)

// Rule raises an alert while the burn over a long window and over a short one are both at a threshold or above.
// The short window ends the alert soon after the fault. With fewer bad requests than MinBad over the long window a
// page is raised as a ticket: where few requests come, a single failure burns the budget fast and proves little.
type Rule struct {
	Severity Severity
	Long     time.Duration
	Short    time.Duration
	Burn     float64 // 1 uses up the budget exactly at the end of the budget window
	MinBad   uint64  // bad requests over the long window
}

// pageMinBad is the least number of bad requests for which somebody is woken.
const pageMinBad = 10

// Rules returns the alerts of the SRE workbook, most urgent first.
func Rules() []Rule {
	return []Rule{
		{SeverityPage, time.Hour, 5 * time.Minute, 14.4, pageMinBad},
		{SeverityPage, 6 * time.Hour, 30 * time.Minute, 6, pageMinBad},
		{SeverityTicket, 72 * time.Hour, 6 * time.Hour, 1, 1},
	}
}

// raised returns the severity of a rule over its two windows.
func (r *Rule) raised(long, short *Window) Severity {
	switch {
	case long.Burn < r.Burn || short.Burn < r.Burn:
		return SeverityNone
	case long.Count.Bad < r.MinBad:
		return SeverityTicket
	}
	return r.Severity
}

// Count is a number of good and of bad requests.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (c *Count) add(k Key, n uint64) {
	if k.Good() {
		c.Good += n
		return
	}
	c.Bad += n
}

// Burn returns the rate at which the counted requests use up the budget of a target share; zero without requests.
func (c Count) Burn(target float64) float64 {
	if c.Bad == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Good+c.Bad) / (1 - target)
}

// Window is the burn over a window that ends now.
type Window struct {
	Length time.Duration `json:"length_ns"`
	Count  Count         `json:"count"`
	Burn   float64       `json:"burn"`
}

// Share is one part of what burnt a budget.
type Share struct {
	Name string  `json:"name"`
	Bad  uint64  `json:"bad"`
	Part float64 `json:"part"` // of all bad requests
}

// Line is one objective of a service for one workspace.
type Line struct {
	Workspace      string          `json:"workspace"` // AllWorkspaces for all of them together
	Service        string          `json:"service"`
	Objective      world.Objective `json:"objective"`
	Windows        []Window        `json:"windows"`
	Total          Count           `json:"total"`       // over the budget window
	BudgetLeft     float64         `json:"budget_left"` // share; below zero when overspent
	Severity       Severity        `json:"severity"`
	Rule           *Rule           `json:"rule,omitempty"` // that raised the alert
	FailureDomains []Share         `json:"failure_domains"`
	Causes         []Share         `json:"causes"`
	Instances      []Share         `json:"instances"`
	Hours          []Count         `json:"hours"` // the last hours, oldest first
}

// AllWorkspaces stands for all workspaces of a service together.
const AllWorkspaces = "*"

// PlotHours is the number of hours that a line tells one by one.
const PlotHours = 72

// maxShares bounds each list of what burnt a budget.
const maxShares = 5

// Report is the state of all objectives.
type Report struct {
	At    time.Time `json:"at"`
	Lines []Line    `json:"lines"` // most urgent first
}

// History holds tables by the number of their period.
type History map[int64]Table

// Evaluate works out every objective that the configuration declares and for which requests were counted. Windows
// are rounded outwards to whole buckets.
func Evaluate(w *world.World, h History, now time.Time) *Report {
	r := &Report{At: now}
	sums := map[lineKey]*sum{}
	for period, table := range h {
		for k, counts := range table {
			for _, ws := range [...]string{k.Workspace, AllWorkspaces} {
				if s := sumOf(sums, w, lineKey{ws, k.Service, k.Objective}); s != nil {
					s.add(period, k, counts, now)
				}
			}
		}
	}
	for _, s := range sums {
		r.Lines = append(r.Lines, s.line())
	}
	slices.SortFunc(r.Lines, compareLines)
	return r
}

type lineKey struct{ workspace, service, objective string }

func sumOf(sums map[lineKey]*sum, w *world.World, k lineKey) *sum {
	if s, ok := sums[k]; ok {
		return s
	}
	svc := w.Services[k.service]
	if svc == nil {
		return nil
	}
	for _, o := range svc.Objectives {
		if o.Name == k.objective {
			s := newSum(k, o)
			sums[k] = s
			return s
		}
	}
	return nil
}

// sum gathers the counts of one line.
type sum struct {
	key       lineKey
	objective world.Objective
	windows   []Window
	total     Count
	hours     []Count
	domains   map[string]uint64
	causes    map[string]uint64
	instances map[string]uint64
}

func newSum(k lineKey, o world.Objective) *sum {
	s := &sum{
		key: k, objective: o, hours: make([]Count, PlotHours),
		domains: map[string]uint64{}, causes: map[string]uint64{}, instances: map[string]uint64{},
	}
	for _, r := range Rules() {
		s.windows = append(s.windows, Window{Length: r.Long}, Window{Length: r.Short})
	}
	return s
}

func (s *sum) add(period int64, k Key, counts Counts, now time.Time) {
	start := PeriodStart(period)
	for i, n := range counts {
		end := start.Add(time.Duration(i+1) * Bucket)
		if n > 0 && end.Add(-Bucket).Compare(now) <= 0 {
			s.addBucket(k, n, now.Sub(end))
		}
	}
	if ago := PeriodOf(now) - period; ago >= 0 && ago < PlotHours {
		for _, n := range counts {
			s.hours[PlotHours-1-ago].add(k, n)
		}
	}
}

// addBucket takes a bucket that ended some time ago; the bucket that has not ended yet has a negative age.
func (s *sum) addBucket(k Key, n uint64, age time.Duration) {
	for i := range s.windows {
		if age < s.windows[i].Length {
			s.windows[i].Count.add(k, n)
		}
	}
	if age >= s.objective.BudgetWindow {
		return
	}
	s.total.add(k, n)
	if k.Good() {
		return
	}
	s.domains[k.FailureDomain] += n
	s.causes[k.Cause] += n
	s.instances[k.Instance] += n
}

func (s *sum) line() Line {
	l := Line{
		Workspace: s.key.workspace, Service: s.key.service, Objective: s.objective, Windows: s.windows, Total: s.total,
		BudgetLeft:     1 - s.total.Burn(s.objective.Target),
		FailureDomains: shares(s.domains, s.total.Bad), Causes: shares(s.causes, s.total.Bad),
		Instances: shares(s.instances, s.total.Bad), Hours: s.hours,
	}
	for i := range l.Windows {
		l.Windows[i].Burn = l.Windows[i].Count.Burn(s.objective.Target)
	}
	for i, r := range Rules() {
		severity := r.raised(&l.Windows[2*i], &l.Windows[2*i+1])
		if severity == SeverityPage || l.Severity == SeverityNone && severity != SeverityNone {
			l.Severity, l.Rule = severity, &r
		}
		if severity == SeverityPage {
			break
		}
	}
	return l
}

func shares(bad map[string]uint64, all uint64) []Share {
	list := make([]Share, 0, len(bad))
	for name, n := range bad {
		list = append(list, Share{Name: name, Bad: n, Part: float64(n) / float64(all)})
	}
	slices.SortFunc(list, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), maxShares)]
}

func urgency(s Severity) int {
	switch s {
	case SeverityPage:
		return 2
	case SeverityTicket:
		return 1
	}
	return 0
}

// compareLines puts alerts first, then the least budget left.
func compareLines(a, b Line) int {
	return cmp.Or(
		cmp.Compare(urgency(b.Severity), urgency(a.Severity)),
		cmp.Compare(a.BudgetLeft, b.BudgetLeft),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Objective.Name, b.Objective.Name),
	)
}
