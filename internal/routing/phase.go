package routing

var phaseNames = [...]string{"unknown", "cold", "ramping", "warm", "loading", "leaving", "down"}

// String returns the lower-case name of the phase.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}
