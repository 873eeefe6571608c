// Package rapidtest runs the tests of a package that uses rapid with a fixed seed, so that the same tree always gives
// the same verdict.
package rapidtest

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flags
)

// Setting is a flag of rapid with its value for one package.
type Setting struct {
	Flag  string // without the prefix "rapid."
	Value string
}

// Main is a TestMain. The settings of the package go before the common ones, and the command line before both.
func Main(m *testing.M, own ...Setting) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	common := []Setting{{"seed", "20261203"}, {"nofailfile", "true"}}
	for _, s := range append(common, own...) {
		if name := "rapid." + s.Flag; !given[name] {
			flag.Set(name, s.Value)
		}
	}
	os.Exit(m.Run())
}
