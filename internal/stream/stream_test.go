package stream

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Setting{Flag: "checks", Value: "2000"}) }

// expectedAnswer returns the correct response to a request. A token has two bytes.
func expectedAnswer(id string, unit Unit, n int) []byte {
	width := 1
	if unit == Tokens {
		width = 2
	}
	out := make([]byte, 0, n*width)
	for i := range n * width {
		out = append(out, id[i%len(id)]+byte(i/len(id)))
	}
	return out
}

// piece returns the piece [from, to) of a response, in units.
func piece(id string, unit Unit, whole []byte, attempt uint32, from, to int) Piece {
	width := 1
	if unit == Tokens {
		width = 2
	}
	return Piece{RequestID: id, Attempt: attempt, Offset: uint64(from), Count: uint32(to - from), Data: whole[from*width : to*width]}
}

// network sends pieces of correct responses to an assembler, and delays, repeats, misroutes, cuts or loses them.
type network struct {
	assembler  *Assembler
	unit       Unit
	answer     []byte
	total      int
	attempt    uint32
	nextOffset int // offset of the next piece of the current attempt
	sent       []Piece
	ends       []End
	delivered  []byte
	started    bool
}

func (n *network) begin(t *rapid.T) {
	resume, ok := n.assembler.Begin(n.attempt + 1)
	if !ok {
		t.Skip("the response has ended")
	}
	n.attempt++
	n.started = true
	n.nextOffset = int(resume)
}

func (n *network) accept(t *rapid.T, p Piece) {
	data, fault := n.assembler.Accept(p)
	if fault != FaultNone && data != nil {
		t.Fatalf("data delivered with fault %s", fault)
	}
	n.delivered = append(n.delivered, data...)
}

func (n *network) send(t *rapid.T) {
	if !n.started || n.nextOffset >= n.total {
		t.Skip("nothing to send")
	}
	to := rapid.IntRange(n.nextOffset+1, n.total).Draw(t, "to")
	p := piece("request", n.unit, n.answer, n.attempt, n.nextOffset, to)
	n.nextOffset = to
	n.sent = append(n.sent, p)
	if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
		n.accept(t, p)
	}
}

func (n *network) repeat(t *rapid.T) {
	if len(n.sent) == 0 {
		t.Skip("nothing sent")
	}
	n.accept(t, rapid.SampledFrom(n.sent).Draw(t, "piece"))
}

func (n *network) torn(t *rapid.T) {
	if !n.started {
		t.Skip("no attempt")
	}
	from := rapid.IntRange(0, n.total-1).Draw(t, "from")
	to := rapid.IntRange(from, n.total).Draw(t, "to")
	n.accept(t, piece("request", n.unit, n.answer, n.attempt, from, to))
}

func (n *network) crossed(t *rapid.T) {
	other := expectedAnswer("another", n.unit, n.total)
	from := rapid.IntRange(0, n.total-1).Draw(t, "from")
	p := piece("another", n.unit, other, n.attempt, from, n.total)
	if _, fault := n.assembler.Accept(p); fault != FaultCrossed {
		t.Fatalf("fault %s for a piece of another request, want crossed", fault)
	}
	if n.assembler.Finish(End{RequestID: "another", Attempt: n.attempt, Total: n.assembler.Delivered()}) == FaultNone {
		t.Fatal("the end of another request was accepted")
	}
}

func (n *network) end(t *rapid.T) {
	if !n.started || n.nextOffset < n.total {
		t.Skip("not all sent")
	}
	n.ends = append(n.ends, End{RequestID: "request", Attempt: n.attempt, Total: uint64(n.total)})
	n.assembler.Finish(n.ends[len(n.ends)-1])
}

func (n *network) lateEnd(t *rapid.T) {
	if len(n.ends) == 0 {
		t.Skip("no end")
	}
	n.assembler.Finish(rapid.SampledFrom(n.ends).Draw(t, "end"))
}

func (n *network) abandon(*rapid.T) { n.assembler.AbandonAttempt() }

// checkInvariant checks that the delivered data is a prefix of the correct response, and all of it once the response is
// complete.
func (n *network) checkInvariant(t *rapid.T) {
	if !bytes.HasPrefix(n.answer, n.delivered) {
		t.Fatalf("delivered %q, which is not a prefix of %q", n.delivered, n.answer)
	}
	if n.assembler.Complete() && len(n.delivered) != len(n.answer) {
		t.Fatalf("complete after %d of %d bytes", len(n.delivered), len(n.answer))
	}
}

// Guards against wrong, duplicate or missing data in the delivered response under any sequence of network faults.
func TestDeliveredIsPrefixOfAnswer(t *testing.T) {
	complete := 0
	rapid.Check(t, func(t *rapid.T) {
		unit := Unit(rapid.IntRange(0, 1).Draw(t, "unit"))
		total := rapid.IntRange(1, 12).Draw(t, "total")
		n := &network{assembler: NewAssembler("request", unit), unit: unit, total: total, answer: expectedAnswer("request", unit, total)}
		t.Repeat(map[string]func(*rapid.T){
			"": n.checkInvariant, "begin": n.begin, "send": n.send, "send2": n.send, "repeat": n.repeat, "torn": n.torn,
			"crossed": n.crossed, "end": n.end, "lateEnd": n.lateEnd, "cut": n.abandon,
		})
		if n.assembler.Complete() {
			complete++
		}
	})
	t.Logf("%d responses completed", complete)
	if complete == 0 {
		t.Error("no response completed; the test is ineffective")
	}
}

// Guards against a piece or end being given the wrong fault, not counted, or wrongly ending or not ending its attempt.
func TestFaults(t *testing.T) {
	const id = "r"
	whole := expectedAnswer(id, Tokens, 10)
	p := func(attempt uint32, from, to int) Piece { return piece(id, Tokens, whole, attempt, from, to) }
	for _, c := range []struct {
		name   string
		inject func(a *Assembler) Fault
		fatal  bool
		want   Fault
	}{
		{"late attempt", func(a *Assembler) Fault { _, f := a.Accept(p(1, 4, 6)); return f }, false, FaultLate},
		{"future attempt", func(a *Assembler) Fault { _, f := a.Accept(p(3, 4, 6)); return f }, false, FaultFuture},
		{"duplicate", func(a *Assembler) Fault { _, f := a.Accept(p(2, 0, 4)); return f }, false, FaultDuplicate},
		{"torn", func(a *Assembler) Fault { _, f := a.Accept(p(2, 3, 6)); return f }, true, FaultTorn},
		{"gap", func(a *Assembler) Fault { _, f := a.Accept(p(2, 5, 6)); return f }, true, FaultGap},
		{"uncounted", func(a *Assembler) Fault {
			_, f := a.Accept(Piece{RequestID: id, Attempt: 2, Offset: 4, Data: []byte("x")})
			return f
		}, true, FaultMalformed},
		{"overflow", func(a *Assembler) Fault {
			_, f := a.Accept(Piece{RequestID: id, Attempt: 2, Offset: ^uint64(0), Count: 2, Data: []byte("x")})
			return f
		}, true, FaultMalformed},
		{"truncated", func(a *Assembler) Fault { return a.Finish(End{id, 2, 10}) }, true, FaultTruncated},
		{"overrun", func(a *Assembler) Fault { return a.Finish(End{id, 2, 3}) }, true, FaultOverrun},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := NewAssembler(id, Tokens)
			a.Begin(1)
			a.Accept(p(1, 0, 4))
			if resume, ok := a.Begin(2); resume != 4 || !ok {
				t.Fatalf("second attempt resumes at %d, %t; want 4, true", resume, ok)
			}
			if got := c.inject(a); got != c.want || got.Fatal() != c.fatal || a.Dropped(c.want) != 1 {
				t.Errorf("fault %s, fatal %t, counted %d times", got, got.Fatal(), a.Dropped(c.want))
			}
			_, after := a.Accept(p(2, 4, 6))
			if (after != FaultNone) != c.fatal {
				t.Errorf("fault of the next piece: %s", after)
			}
		})
	}
}

// Guards against delivering more after a response is complete or broken.
func TestNoDeliveryAfterEnd(t *testing.T) {
	whole := expectedAnswer("r", Bytes, 4)
	a := NewAssembler("r", Bytes)
	a.Begin(1)
	a.Accept(piece("r", Bytes, whole, 1, 0, 4))
	if f := a.Finish(End{"r", 1, 4}); f != FaultNone || a.Fail(FaultGap) != nil {
		t.Fatalf("fault of the end: %s", f)
	}
	if _, ok := a.Begin(2); ok {
		t.Error("an attempt began after the response was complete")
	}
	b := NewAssembler("r", Bytes)
	b.Begin(1)
	b.Accept(piece("r", Bytes, whole, 1, 0, 2))
	if err := b.Fail(FaultTruncated); err.Delivered != 2 || b.Complete() {
		t.Errorf("broken response: %v", err)
	}
	if _, f := b.Accept(piece("r", Bytes, whole, 1, 2, 4)); f != FaultEnded {
		t.Errorf("fault of a piece after the failure: %s", f)
	}
}

// FuzzAssembler feeds arbitrary pieces and ends. Offsets must never decrease, and data must only be returned without a
// fault.
func FuzzAssembler(f *testing.F) {
	f.Add([]byte{0, 0, 1, 3, 1, 0, 1, 2, 2, 0, 0, 0})
	f.Fuzz(func(t *testing.T, script []byte) {
		a := NewAssembler("r", Bytes)
		var delivered uint64
		for ; len(script) >= 4; script = script[4:] {
			attempt, offset, count := uint32(script[1]%4), uint64(script[2]), uint32(script[3])
			switch script[0] % 4 {
			case 0:
				a.Begin(attempt)
			case 1, 2:
				size := int(count)
				if script[0]%4 == 2 {
					offset, size = binary.BigEndian.Uint64(append(make([]byte, 4), script[:4]...)), size/2
				}
				data, fault := a.Accept(Piece{"r", attempt, offset, count, make([]byte, size)})
				if fault != FaultNone && len(data) > 0 {
					t.Fatal(fmt.Sprint("data returned with fault ", fault))
				}
				delivered += uint64(len(data))
			case 3:
				a.Finish(End{"r", attempt, offset})
			}
			if a.Delivered() != delivered {
				t.Fatalf("delivered offset is %d after %d bytes", a.Delivered(), delivered)
			}
		}
	})
}
