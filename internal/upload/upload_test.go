package upload

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

// Guards against buffering more than WindowSize, and against an open window that stops granting after all its data has been
// consumed. The steps of sender and receiver are random.
func TestWindowIsBoundedAndNeverStalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		var sent, consumed uint64
		granted := uint64(InitialGrant)
		for range 200 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				w.Open()
			case 1:
				n := min(rapid.Uint64Range(0, PieceSize).Draw(t, "sent"), granted-sent)
				if err := w.Receive(int(n)); err != nil {
					t.Fatal(err)
				}
				sent += n
			case 2:
				n := rapid.Uint64Range(0, sent-consumed).Draw(t, "consumed")
				w.Consume(int(n))
				consumed += n
			}
			if offset, ok := w.Grant(); ok {
				if offset <= granted {
					t.Fatalf("grant of offset %d after %d", offset, granted)
				}
				granted = offset
			}
			if granted-consumed > WindowSize {
				t.Fatalf("%d bytes may be buffered", granted-consumed)
			}
			if w.open && consumed == sent && granted == sent {
				t.Fatal("stalled")
			}
		}
	})
}

// Guards against accepting more data than was granted.
func TestDataBeyondGrantIsRejected(t *testing.T) {
	var w Window
	var overrun *OverrunError
	if err := w.Receive(InitialGrant + 1); !errors.As(err, &overrun) {
		t.Errorf("got error %v, want an OverrunError", err)
	}
}

// Guards against granting more than InitialGrant before the attempt is admitted.
func TestNoGrantBeforeAdmission(t *testing.T) {
	var w Window
	if err := w.Receive(InitialGrant); err != nil {
		t.Fatal(err)
	}
	w.Consume(InitialGrant)
	if offset, ok := w.Grant(); ok {
		t.Errorf("granted up to %d before admission", offset)
	}
}

func TestMain(m *testing.M) { rapidtest.Main(m) }
