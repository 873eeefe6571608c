package workspaceshare

import (
	"cmp"
	"math"
	"slices"
)

// Demand is the work that a workspace of a given weight asks for, in units per second.
type Demand struct {
	Asked  float64
	Weight float64 // above zero
}

// Level returns the share per unit of weight by max-min fairness: with it, the workspaces together get the capacity if each
// gets the smaller of its demand and its share. It returns infinity if the capacity covers all demands. It sorts demands.
func Level(demands []Demand, capacity float64) float64 {
	weight := 0.0
	for _, d := range demands {
		weight += d.Weight
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Asked*b.Weight, b.Asked*a.Weight) })
	for _, d := range demands {
		if level := max(capacity, 0) / weight; d.Asked > level*d.Weight {
			return level
		}
		capacity -= d.Asked
		weight -= d.Weight
	}
	return math.Inf(1)
}
