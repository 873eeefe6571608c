package page

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/burn"
)

//go:embed page.html.tmpl
var source string

// maxRows bounds the table by workspace, which is as long as there are workspaces; JSON has them all.
const maxRows = 40

// Size of a plot in its own units.
const (
	barWidth   = 5
	plotHeight = 90
	plotWidth  = barWidth * burn.PlotHours
	plotTop    = 40.0 // burn at the upper edge
)

var tmpl = template.Must(template.New("page").Funcs(template.FuncMap{
	"number": number,
	"list":   list,
	"upper":  strings.ToUpper,
	"plot":   newPlot,
	"clamp":  func(share float64) string { return fmt.Sprintf("%.1f", 100*min(max(share, 0), 1)) },
	"window": func(w Window) string { return short(time.Duration(w.Length)) },
	"clock":  func(t time.Time) string { return t.Format("2006-01-02 15:04 MST") },
}).Parse(source))

// sheet is what the template shows.
type sheet struct {
	*Report
	Services   []Line // of all workspaces together
	Workspaces []Line
	Hidden     int // workspaces' lines beyond the table
	HiddenBad  int // of these, lines that alert
}

// HTML writes the page. It loads nothing from elsewhere.
func (p *Report) HTML(w io.Writer) error {
	s := &sheet{Report: p}
	for _, l := range p.Lines {
		switch {
		case l.Workspace == burn.AllWorkspaces:
			s.Services = append(s.Services, l)
		case len(s.Workspaces) < maxRows:
			s.Workspaces = append(s.Workspaces, l)
		default:
			s.Hidden++
			if l.Severity != burn.SeverityNone {
				s.HiddenBad++
			}
		}
	}
	return trace.Wrap(tmpl.Execute(w, s), "writing the page")
}

// plot is the burn by the hour.
type plot struct {
	Width, Height int
	Bars          []bar
	Rules         []mark // burn rates at which alerts are raised
}

type bar struct {
	X, Y, Width, Height float64
	Class               string
	Title               string
}

type mark struct {
	Y     float64
	Label string
}

// newPlot draws one bar for each hour. Hours without requests have none. The scale is the square root, on which
// a burn of 1 and one of 14.4 can both be seen.
func newPlot(l Line) plot {
	p := plot{Width: plotWidth, Height: plotHeight}
	for _, r := range burn.Rules() {
		p.Rules = append(p.Rules, mark{Y: height(r.Burn), Label: fmt.Sprintf("%g", r.Burn)})
	}
	for i, c := range l.Hours {
		if c.Good+c.Bad == 0 {
			continue
		}
		rate := c.Burn(l.Objective.Target)
		y := min(height(rate), plotHeight-2) // no burn is a thin line, unlike no requests
		p.Bars = append(p.Bars, bar{
			X: float64(i * barWidth), Y: y, Width: barWidth - 1, Height: plotHeight - y,
			Class: class(rate),
			Title: fmt.Sprintf("%d h ago: burn %s, %d of %d bad", len(l.Hours)-1-i, number(rate), c.Bad, c.Good+c.Bad),
		})
	}
	return p
}

func height(rate float64) float64 {
	return plotHeight * (1 - math.Sqrt(min(rate, plotTop)/plotTop))
}

// class is the colour of a burn rate by the least urgent rule that it reaches.
func class(rate float64) string {
	rules := burn.Rules()
	switch {
	case rate >= rules[1].Burn:
		return string(burn.SeverityPage)
	case rate >= rules[2].Burn:
		return string(burn.SeverityTicket)
	}
	return "ok"
}
