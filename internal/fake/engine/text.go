package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ExpectedText returns the tokens from, up to but without to, of the answer to a prompt at a weight version.
func ExpectedText(prompt, version string, from, to int) string {
	return textBetween(textSeed(prompt, version), from, to)
}

func textSeed(prompt, version string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(version)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

func textBetween(seed uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(tokenAt(seed, i))
	}
	return b.String()
}

// tokenAt mixes the seed and the index, so that a lost, repeated or swapped token shows in the text.
func tokenAt(seed uint64, i int) string {
	x := seed + uint64(i+1)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	return " " + strconv.FormatUint(x&0xfffff, 36)
}
