package gateway

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/roster"
)

// Guards against a target that keeps older weights for good since nothing can lower the version that instances believe: an order that was
// carried out late, after a restart, made it load them.
func TestOlderWeightVersionIsLearned(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	record := func(sequence uint64, version int) roster.Record {
		return roster.Record{ID: "t", Sequence: sequence, Weights: map[string]int{"m": version}}
	}
	for _, c := range []struct {
		name  string
		learn func(known *target)
		want  int
	}{
		{"answer to a later request", func(known *target) {
			known.learnVersions(map[string]int{"m": 3}, at(10))
			known.learnAnswered("m", 2, at(20), at(30))
		}, 2},
		{"answer that was overtaken", func(known *target) {
			known.learnVersions(map[string]int{"m": 3}, at(25))
			known.learnAnswered("m", 2, at(20), at(30))
		}, 3},
		{"answer that was overtaken by one with the known version", func(known *target) {
			known.learnVersions(map[string]int{"m": 3}, at(10))
			known.learnAnswered("m", 3, at(15), at(25))
			known.learnAnswered("m", 2, at(20), at(30))
		}, 3},
		{"another model's answer", func(known *target) {
			known.learnVersions(map[string]int{"m": 3, "n": 3}, at(10))
			known.learnAnswered("n", 2, at(20), at(30))
		}, 3},
		{"later record", func(known *target) {
			known.learnRecord(record(5, 3), at(10))
			known.learnRecord(record(6, 2), at(20))
		}, 2},
		{"record whose write was executed late", func(known *target) {
			known.learnRecord(record(5, 3), at(10))
			known.learnRecord(record(4, 2), at(20))
		}, 3},
		{"later record after a late one", func(known *target) {
			known.learnRecord(record(5, 3), at(10))
			known.learnRecord(record(4, 2), at(20))
			known.learnRecord(record(6, 2), at(30))
		}, 2},
		{"record that is behind an answer", func(known *target) {
			known.learnRecord(record(5, 1), at(10))
			known.learnAnswered("m", 3, at(15), at(20))
			known.learnRecord(record(6, 2), at(30))
		}, 3},
		{"publication that was read before", func(known *target) {
			known.learnPublished(map[string]int{"m": 3}, at(10))
			known.learnAnswered("m", 2, at(20), at(30))
			known.learnPublished(map[string]int{"m": 3}, at(40))
		}, 2},
		{"publication of a later load", func(known *target) {
			known.learnPublished(map[string]int{"m": 3}, at(10))
			known.learnAnswered("m", 2, at(20), at(30))
			known.learnPublished(nil, at(40))
			known.learnPublished(map[string]int{"m": 3}, at(50))
		}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			known := new(target)
			c.learn(known)
			if got := known.version("m"); got != c.want {
				t.Errorf("known version %d, want %d", got, c.want)
			}
		})
	}
}
