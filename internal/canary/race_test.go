//go:build race

package canary

// raceEnabled reports whether the race detector is on.
const raceEnabled = true
