package statusz

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/egrethoist/egrethoist/internal/world"
)

// States of a target in a fleet, besides the phases that entries tell ("cold", "ramping", "warm", ...).
const (
	StateDrained     = "drained"     // taken out by configuration
	StateUnreachable = "unreachable" // no live connection to its sidecar
	StateUnknown     = "unknown"     // no entry that was asked keeps a connection to it
)

// Answer is what came of asking one process.
type Answer struct {
	Address string   `json:"address"`
	Process *Process `json:"process,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// StoreState is a declared store and whether it could be reached from where the question was asked.
type StoreState struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Link          string `json:"link"`
	Reachable     bool   `json:"reachable"`
}

// LinkState is a declared link.
type LinkState struct {
	Name        string        `json:"name"`
	BytesPerSec int64         `json:"bytes_per_sec"`
	Delay       time.Duration `json:"delay_ns"`
}

// DomainState is a failure domain with its targets by state.
type DomainState struct {
	Name    string         `json:"name"`
	Region  string         `json:"region"`
	Drained bool           `json:"drained"`
	Targets map[string]int `json:"targets"`
}

// ServiceState is a service with its targets by state.
type ServiceState struct {
	Name          string         `json:"name"`
	WeightVersion string         `json:"weight_version,omitempty"`
	Targets       map[string]int `json:"targets"`
}

// TargetState is a declared target.
type TargetState struct {
	Name          string         `json:"name"`
	Service       string         `json:"service"`
	FailureDomain string         `json:"failure_domain"`
	State         string         `json:"state"` // as most entries see it; of a tie the worse
	Seen          map[string]int `json:"seen"`  // entries by the state that they see
	Sidecar       *Sidecar       `json:"sidecar,omitempty"`
}

// ProcessState is a process that answered or should have.
type ProcessState struct {
	Answer
	Current bool `json:"current"` // has the revision that is in force
}

// Fleet puts a configuration and the answers of processes together.
type Fleet struct {
	FailureDomains []DomainState  `json:"failure_domains"`
	Services       []ServiceState `json:"services"`
	Targets        []TargetState  `json:"targets"`
	Stores         []StoreState   `json:"stores"`
	Links          []LinkState    `json:"links"`
	Processes      []ProcessState `json:"processes"`
}

// NewFleet joins the configuration in force with answers. An entry sees only the targets that it keeps
// connections to.
func NewFleet(w *world.World, answers []Answer, stores []StoreState) *Fleet {
	f := &Fleet{Stores: stores, Processes: []ProcessState{}}
	digest := hex.EncodeToString(w.Revision.Digest[:])
	for _, a := range answers {
		f.Processes = append(f.Processes, ProcessState{Answer: a, Current: a.Process != nil && a.Process.Digest == digest})
	}
	for _, l := range sorted(w.Links) {
		f.Links = append(f.Links, LinkState{l.Name, l.BytesPerSec, l.Delay})
	}
	byDomain, byService := map[string]map[string]int{}, map[string]map[string]int{}
	seen, sidecars := gather(answers)
	for _, t := range sorted(w.Targets) {
		s := targetState(w, t, seen[t.Name])
		s.Sidecar = sidecars[t.Name]
		count(byDomain, t.FailureDomain, s.State)
		count(byService, t.Service, s.State)
		f.Targets = append(f.Targets, s)
	}
	for _, d := range sorted(w.FailureDomains) {
		f.FailureDomains = append(f.FailureDomains, DomainState{d.Name, d.Region, d.Drained, byDomain[d.Name]})
	}
	for _, s := range sorted(w.Services) {
		f.Services = append(f.Services, ServiceState{s.Name, s.WeightVersion, byService[s.Name]})
	}
	return f
}

func sorted[T any](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

func count(m map[string]map[string]int, name, state string) {
	if m[name] == nil {
		m[name] = map[string]int{}
	}
	m[name][state]++
}

// gather returns how many entries see each target in which state, and what sidecars tell of their own.
func gather(answers []Answer) (map[string]map[string]int, map[string]*Sidecar) {
	seen, sidecars := map[string]map[string]int{}, map[string]*Sidecar{}
	for _, a := range answers {
		if a.Process == nil {
			continue
		}
		for _, t := range a.Process.Targets {
			if t.Outside {
				continue
			}
			state := t.Phase
			if !t.Alive {
				state = StateUnreachable
			}
			count(seen, t.Target, state)
		}
		if s := a.Process.Sidecar; s != nil {
			sidecars[s.Target] = s
		}
	}
	return seen, sidecars
}

// states from worst to best; of a tie the worse is told.
var states = []string{StateUnreachable, "down", StateUnknown, "loading", "leaving", "cold", "ramping", "warm"}

func targetState(w *world.World, t *world.Target, seen map[string]int) TargetState {
	s := TargetState{Name: t.Name, Service: t.Service, FailureDomain: t.FailureDomain, State: StateUnknown, Seen: seen}
	most := 0
	for _, state := range states {
		if seen[state] > most {
			s.State, most = state, seen[state]
		}
	}
	if s.State != StateUnreachable && !w.TakesNewWork(t) {
		s.State = StateDrained
	}
	return s
}

// String returns the fleet at a glance: counts, then only the targets that do not serve as they should.
func (f *Fleet) String() string {
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAILURE DOMAIN\tREGION\tTARGETS")
	for _, d := range f.FailureDomains {
		fmt.Fprintf(t, "%s\t%s\t%s\n", mark(d.Name, d.Drained, "drained"), d.Region, inWords(d.Targets))
	}
	fmt.Fprintln(t, "\nSERVICE\tWEIGHTS\tTARGETS")
	for _, s := range f.Services {
		fmt.Fprintf(t, "%s\t%s\t%s\n", s.Name, cmp.Or(s.WeightVersion, "-"), inWords(s.Targets))
	}
	f.writeTargets(t)
	if len(f.Stores) > 0 {
		fmt.Fprintln(t, "\nSTORE\tFAILURE DOMAIN\tADDRESS\tLINK\tSTATE")
	}
	for _, s := range f.Stores {
		state := "reachable"
		if !s.Reachable {
			state = StateUnreachable
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", s.Name, s.FailureDomain, s.Address, s.Link, state)
	}
	if len(f.Links) > 0 {
		fmt.Fprintln(t, "\nLINK\tRATE\tDELAY")
	}
	for _, l := range f.Links {
		fmt.Fprintf(t, "%s\t%.2f GB/s\t%v\n", l.Name, float64(l.BytesPerSec)/1e9, l.Delay)
	}
	f.writeProcesses(t)
	t.Flush()
	return strings.TrimSuffix(b.String(), "\n")
}

func (f *Fleet) writeTargets(t *tabwriter.Writer) {
	head := "\nTARGET\tSERVICE\tFAILURE DOMAIN\tSTATE\tSEEN BY ENTRIES AS"
	for _, s := range f.Targets {
		if s.State == "warm" && len(s.Seen) == 1 || s.State == StateUnknown {
			continue
		}
		if head != "" {
			fmt.Fprintln(t, head)
			head = ""
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", s.Name, s.Service, s.FailureDomain, s.State, inWords(s.Seen))
	}
}

func (f *Fleet) writeProcesses(t *tabwriter.Writer) {
	if len(f.Processes) == 0 {
		fmt.Fprintln(t, "\nno process was asked; name some with --admin")
		return
	}
	fmt.Fprintln(t, "\nPROCESS\tROLE\tADMIN\tREVISION\tSTATE")
	for _, p := range f.Processes {
		if p.Process == nil {
			fmt.Fprintf(t, "-\t-\t%s\t-\t%s\n", p.Address, p.Error)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", p.Process.Name, p.Process.Role, p.Address, p.Process.Revision, p.state())
	}
}

// state tells how the process stands to the configuration in force.
func (p *ProcessState) state() string {
	words := []string{"in force"}
	if !p.Current {
		words[0] = "another revision"
	}
	if !p.Process.Confirmed {
		words = append(words, "not confirmed")
	}
	if p.Process.HeadRefused {
		words = append(words, "refuses the key-value service's head")
	}
	if p.Process.Watching {
		words = append(words, "watching")
	}
	return strings.Join(words, ", ")
}

func mark(name string, on bool, word string) string {
	if !on {
		return name
	}
	return name + " (" + word + ")"
}

func inWords(counts map[string]int) string {
	words := make([]string, 0, len(counts))
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%d %s", counts[state], state))
	}
	return cmp.Or(strings.Join(words, ", "), "-")
}
