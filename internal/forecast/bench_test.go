package forecast

import (
	"math/rand/v2"
	"testing"
)

func BenchmarkPredict(b *testing.B) {
	s := NewService(50_000)
	for b.Loop() {
		s.Predict(Work{PromptTokens: 1000, HintedTokens: 300})
	}
}

func BenchmarkAddFirst(b *testing.B) {
	rng, s := rand.New(rand.NewPCG(1, 1)), NewService(50_000)
	w, took := sample(rng)
	for b.Loop() {
		s.AddFirst(w, took)
	}
}
