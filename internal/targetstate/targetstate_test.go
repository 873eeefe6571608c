package targetstate

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// drawState returns a random complete state, as a sidecar creates it.
func drawState(t *rapid.T, incarnation uint64) *egretv1.TargetState {
	return &egretv1.TargetState{
		Target: "planner-01",
		Phase:  egretv1.TargetPhase(rapid.IntRange(1, 6).Draw(t, "phase")),
		Load: &egretv1.Load{
			Incarnation: incarnation, Limit: 8,
			InFlight: rapid.Uint32Range(0, 8).Draw(t, "in flight"),
		},
		WeightVersions: rapid.SliceOfN(rapid.SampledFrom([]string{"v1", "v2"}), 0, 2).Draw(t, "versions"),
		Revision: &egretv1.RevisionStamp{
			Number: rapid.Uint64Range(0, 2).Draw(t, "revision"),
			Digest: []byte{rapid.ByteRange(0, 1).Draw(t, "branch")},
		},
		Stopping: rapid.Bool().Draw(t, "stopping"),
	}
}

// TestStreams sends random states over successive streams. On some of them the sender omits nothing, as an earlier release does.
// Each state must arrive as it was created.
func TestStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for incarnation := range uint64(rapid.IntRange(1, 4).Draw(t, "streams")) {
			var sender Sender
			var receiver Receiver
			omit := rapid.Bool().Draw(t, "both ends leave out")
			for range rapid.IntRange(0, 8).Draw(t, "states") {
				want := drawState(t, incarnation)
				sent := proto.Clone(want).(*egretv1.TargetState)
				if omit {
					sender.OmitUnchanged(sent)
				}
				got := overWire(t, sent)
				receiver.Restore(got)
				if !proto.Equal(got, overWire(t, want)) {
					t.Fatalf("sent %v, received %v", want, got)
				}
			}
		}
	})
}

// overWire returns m after encoding and decoding.
func overWire(t *rapid.T, m *egretv1.TargetState) *egretv1.TargetState {
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	out := &egretv1.TargetState{}
	if err := proto.Unmarshal(b, out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestUnchangedStateIsShort checks that the second of two equal states takes at most a quarter of the bytes of the first.
func TestUnchangedStateIsShort(t *testing.T) {
	var sender Sender
	size := func() int {
		m := &egretv1.TargetState{
			Target: "planner-01", Phase: egretv1.TargetPhase_TARGET_PHASE_WARM, WeightVersions: []string{"planner-2026-11"},
			Load:     &egretv1.Load{Incarnation: 1_800_000_000_000_000_000, Limit: 32, InFlight: 4, Sequence: 1000},
			Revision: &egretv1.RevisionStamp{Number: 9600, Digest: make([]byte, 32)},
		}
		sender.OmitUnchanged(m)
		return proto.Size(m)
	}
	if complete, unchanged := size(), size(); 4*unchanged > complete {
		t.Errorf("an unchanged state has %d bytes, want at most a quarter of the %d of a complete one", unchanged, complete)
	}
}
