package once

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Setting{Flag: "checks", Value: "3000"}, rapidtest.Setting{Flag: "steps", Value: "150"})
}

// historyMode selects what the processes of a simulation know about the homes of the past.
type historyMode int

const (
	fullHistory     historyMode = iota // every process learns every revision
	partialHistory                     // a process knows only the revisions that it learned itself
	recordedHistory                    // the configuration records earlier generations
)

// check runs the simulation with the given actions, and logs how often each verdict was returned and how often it was
// OutcomeUnknown for a key that had never been dispatched.
func check(t *testing.T, names []string, mode historyMode, actions func(m *machine) map[string]func(*rapid.T)) {
	total, needlessUnknown := map[Verdict]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, names...)
		m.withoutHistory, m.recordsHomes = mode == partialHistory, mode == recordedHistory
		m.knowsDeclared = m.withoutHistory && rapid.Bool().Draw(t, "asking")
		t.Repeat(actions(m))
		for v, n := range m.verdicts {
			total[v] += n
		}
		needlessUnknown += m.needlessUnknown
	})
	for v := Run; v <= Closed; v++ {
		t.Logf("%-17s %d", v, total[v])
	}
	t.Logf("outcome unknown of a key that was never dispatched: %d", needlessUnknown)
}

func allActions(m *machine) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"newKey": m.newKey, "repeat": m.repeatKey, "repeat2": m.repeatKey,
		"deliver": m.deliverMessage, "deliver2": m.deliverMessage, "deliver3": m.deliverMessage,
		"fence": m.answerFence, "fence2": m.answerFence, "lose": m.dropMessage, "end": m.endRequest, "restart": m.restartProcess,
		"claim": m.claimHandover, "destroy": m.destroyTarget, "configure": m.changeTargets, "learn": m.learnRevision, "pass": m.advanceTime,
		"passLong": m.advanceTimeFar,
	}
}

// TestAtMostOnce compares ledgers with a reference model, one global map of keys: no key runs twice, and the verdicts
// agree with what really ran.
func TestAtMostOnce(t *testing.T) {
	check(t, []string{"a", "b", "c"}, fullHistory, allActions)
}

// TestAtMostOnceWithoutHistory runs processes that start without the history of homes and miss revisions.
func TestAtMostOnceWithoutHistory(t *testing.T) {
	check(t, []string{"a", "b", "c"}, partialHistory, allActions)
}

// TestAtMostOnceWithRecordedHomes runs processes that act on old revisions for much longer than MaxPropagation, and
// that start with only the history that the configuration records.
func TestAtMostOnceWithRecordedHomes(t *testing.T) {
	check(t, []string{"a", "b"}, recordedHistory, func(m *machine) map[string]func(*rapid.T) {
		return map[string]func(*rapid.T){
			"newKey": m.newPlainKey, "repeat": m.repeatRecentKey, "repeat2": m.repeatRecentKey, "repeat3": m.repeatRecentKey,
			"deliver": m.deliverMessage, "deliver2": m.deliverMessage, "deliver3": m.deliverMessage, "deliver4": m.deliverMessage,
			"fence": m.answerFence, "fence2": m.answerFence, "end": m.endRequest, "cutOff": m.togglePartition,
			"restart": oneInFive(m.restartProcess), "claim": m.claimHandover, "destroy": oneInFive(m.destroyTarget), "configure": m.changeTargets,
			"learn": m.learnRevision, "learn2": m.learnRevision, "pass": m.advanceTime, "pass2": m.advanceTime, "passLong": m.advanceTimeFar, "passLong2": m.advanceTimeFar,
		}
	})
}

// TestAtMostOnceWhileHomesMove runs few keys and many moves of homes, so that fences and requests overtake each other.
func TestAtMostOnceWhileHomesMove(t *testing.T) {
	check(t, []string{"a", "b"}, fullHistory, func(m *machine) map[string]func(*rapid.T) {
		return map[string]func(*rapid.T){
			"newKey": m.newKeyUpToTwo, "repeat": m.repeatKey, "repeat2": m.repeatKey, "repeat3": m.repeatKey,
			"deliver": m.deliverMessage, "deliver2": m.deliverMessage, "deliver3": m.deliverMessage, "deliver4": m.deliverMessage,
			"fence": m.answerFence, "fence2": m.answerFence, "fence3": m.answerFence,
			"configure": m.changeTargets, "learn": m.learnRevision, "learn2": m.learnRevision, "learn3": m.learnRevision,
			"end": m.endRequest, "restart": m.restartProcess, "claim": m.claimHandover, "pass": m.advanceTimeBriefly,
		}
	})
}
