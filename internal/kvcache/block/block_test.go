package block

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// Guards against seeds that collide across services, versions and salts, which would share blocks between workspaces.
func TestSeedsDiffer(t *testing.T) {
	seen := map[Seed]bool{}
	for _, f := range [][3]string{
		{"svc", "v1", "salt"}, {"svc", "v2", "salt"}, {"svc", "v1", "tlas"}, {"other", "v1", "salt"},
		{"svcv", "1", "salt"}, {"svc", "v1s", "alt"}, {"", "", "svcv1salt"},
	} {
		s := NewSeed(f[0], f[1], f[2])
		if seen[s] {
			t.Errorf("seed of %q equals an earlier one", f)
		}
		seen[s] = true
	}
}

// Guards against equal IDs for different prefixes or salts, and against different IDs for equal prefixes.
func TestChainIdentifiesExactPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := rapid.IntRange(1, 64).Draw(t, "window")
		a := rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "a")
		b := bytes.Clone(a)
		if len(b) > 0 && rapid.Bool().Draw(t, "differ") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= 1
		}
		b = append(b, rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "tail")...)
		commonBytes := 0
		for commonBytes < min(len(a), len(b)) && a[commonBytes] == b[commonBytes] {
			commonBytes++
		}
		seed := NewSeed("svc", "v1", "salt")
		idsA, idsB := Chain(seed, a, window), Chain(seed, b, window)
		if len(idsA) != len(a)/window {
			t.Fatalf("%d blocks for %d bytes with windows of %d bytes", len(idsA), len(a), window)
		}
		if got := CommonPrefix(idsA, idsB); got != commonBytes/window {
			t.Fatalf("common prefix of %d blocks, want %d", got, commonBytes/window)
		}
		if n := CommonPrefix(idsA, Chain(NewSeed("svc", "v1", "other"), a, window)); n != 0 {
			t.Fatalf("%d blocks are equal under different salts", n)
		}
	})
}

// Guards against IDs that change in a round trip, and against accepting malformed ones.
func TestParse(t *testing.T) {
	id := Chain(NewSeed("s", "v", "x"), []byte("abcd"), 4)[0]
	if got, err := Parse(id.Hex()); err != nil || got != id {
		t.Errorf("Parse(Hex) = %v, %v", got, err)
	}
	if got, err := FromBytes(id.Bytes()); err != nil || got != id {
		t.Errorf("FromBytes(Bytes) = %v, %v", got, err)
	}
	for _, bad := range []string{"", "00", id.Hex() + "00", "zz" + id.Hex()[2:]} {
		if _, err := Parse(bad); err == nil {
			t.Errorf("Parse(%q) returned no error", bad)
		}
	}
}

func BenchmarkChain(b *testing.B) {
	prompt := bytes.Repeat([]byte("pulpwood"), 32<<10)
	seed := NewSeed("planner-llm", "v1", "salt")
	b.SetBytes(int64(len(prompt)))
	for b.Loop() {
		Chain(seed, prompt, WindowBytes(1024))
	}
}
