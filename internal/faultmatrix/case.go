// Package faultmatrix brings every fault to bear at every step of a request, alone and in pairs, on the real
// entry and sidecar with fake targets on an in-memory network under virtual time. After each case an
// independent reader judges what callers were told by the fakes' own execution logs.
package faultmatrix

import "fmt"

// Kind is a kind of call.
type Kind string

// Kinds of call.
const (
	KindStream  Kind = "model stream"
	KindLookup  Kind = "repeatable"
	KindKeyed   Kind = "non-repeatable with a key"
	KindUnkeyed Kind = "non-repeatable without a key"
)

// Kinds lists every kind of call.
var Kinds = []Kind{KindStream, KindLookup, KindKeyed, KindUnkeyed}

// Step is a step of a request at which a fault strikes.
type Step string

// Steps of a request, in order.
const (
	StepAccept    Step = "accept"     // on its way from the caller to the entry
	StepRoute     Step = "route"      // just before the entry picks a target
	StepSend      Step = "send"       // on its way to the sidecar
	StepAdmit     Step = "admit"      // just before the sidecar admits it
	StepDial      Step = "dial"       // while the sidecar dials the target anew
	StepRun       Step = "run"        // the target is at work
	StepFirstByte Step = "first byte" // the first piece is on its way from the target
	StepMidStream Step = "mid-stream" // some pieces have reached the caller; a plain answer is at the sidecar
	StepEnd       Step = "end"        // the end is on its way to the caller
	StepSettle    Step = "settle"     // the caller has just had its answer
)

// Steps lists every step.
var Steps = []Step{
	StepAccept, StepRoute, StepSend, StepAdmit, StepDial, StepRun, StepFirstByte, StepMidStream, StepEnd, StepSettle,
}

// Strike is one fault at one step.
type Strike struct {
	Fault Fault
	Step  Step
}

func (s Strike) String() string { return fmt.Sprintf("%s at %s", s.Fault, s.Step) }

// Case is one run of the matrix: a call and the faults that strike it.
type Case struct {
	Kind    Kind
	Strikes []Strike
}

func (c Case) String() string {
	name := string(c.Kind)
	for _, s := range c.Strikes {
		name += ", " + s.String()
	}
	return name
}

// Singles lists every fault at every step for every kind of call.
func Singles() []Case {
	var out []Case
	for _, f := range Faults {
		for _, step := range Steps {
			for _, k := range Kinds {
				out = append(out, Case{Kind: k, Strikes: []Strike{{f, step}}})
			}
		}
	}
	return out
}

// factors of a pair of faults: the first fault and its step, the second and its step, and the kind of call.
func factors() []int {
	return []int{len(Faults), len(Steps), len(Faults), len(Steps), len(Kinds)}
}

// Pairs lists cases of two faults such that every two values of the factors occur together: each fault with
// each, at each step of either, for each kind of call. The same fault twice is among them.
func Pairs() []Case {
	var out []Case
	for _, row := range cover(factors()) {
		out = append(out, Case{
			Kind: Kinds[row[4]],
			Strikes: []Strike{
				{Faults[row[0]], Steps[row[1]]},
				{Faults[row[2]], Steps[row[3]]},
			},
		})
	}
	return out
}
