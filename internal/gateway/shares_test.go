package gateway

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/loadshare"
	"github.com/egrethoist/egrethoist/internal/overload"
)

// pipeConn is a net.PacketConn that passes datagrams to another instance's shareService at once.
type pipeConn struct {
	net.PacketConn
	to *shareService
}

func (c pipeConn) WriteTo(b []byte, a net.Addr) (int, error) {
	c.to.handleDatagram(b, a)
	return len(b), nil
}

func shareRequest(workspace string) *request {
	return &request{
		rng: rand.New(rand.NewPCG(1, 2)), service: &service{Service: &catalog.Service{Name: "s"}}, workspace: &catalog.Workspace{Name: workspace},
		call: Call{PromptTotal: 1000},
	}
}

// overloaded is a request just beyond, and busy one within, the limit of overload control.
var (
	overloaded = overload.Request{QueueWait: 900 * time.Millisecond, Objective: 800 * time.Millisecond, Remaining: 10 * time.Second}
	busy       = overload.Request{QueueWait: 600 * time.Millisecond, Objective: 800 * time.Millisecond, Remaining: 10 * time.Second}
)

// Guards against an instance that decides by its own counts alone: what one instance sees of a workspace must decide at another
// one, and a workspace inside its share must not pay for it.
func TestUsageOfOtherInstancesDecides(t *testing.T) {
	here, there := newShareService(true, nil), newShareService(true, nil)
	plan := &loadshare.Plan{Direct: true, OwnRecipients: []string{"127.0.0.1:1"}}
	for range 100 { // the large workspace asks at the other instance and gets two thirds
		shareRequest("large").decideByShare(there, overload.Request{Objective: time.Second, Remaining: time.Second}, 1000)
		shareRequest("large").decideByShare(there, overload.Request{Objective: time.Second, Remaining: time.Second}, 1000)
		shareRequest("large").decideByShare(there, overload.Request{QueueWait: time.Minute, Objective: time.Second, Remaining: time.Second}, 1000)
	}
	for range 30 {
		shareRequest("small").decideByShare(there, overload.Request{Objective: time.Second, Remaining: time.Second}, 1000)
	}
	now := time.Now()
	there.broadcast(pipeConn{to: here}, plan, 1, 1, false, now)
	here.broadcast(pipeConn{to: there}, plan, 2, 1, false, now)
	small, large := shareRequest("small"), shareRequest("large")
	if d := small.decideByShare(here, overloaded, 1000); !d.Admit || small.share.Outcome != "admitted inside share" {
		t.Errorf("workspace inside its share: %+v, share %+v", d, small.share)
	}
	for range 200 { // the refused part of the large one must not be admitted here instead
		large = shareRequest("large")
		if d := large.decideByShare(here, overloaded, 1000); d.Admit || d.RetryAfter <= 0 || d.RetryAfter > overloaded.Remaining/3 {
			t.Fatalf("workspace beyond its share: %+v, share %+v", d, large.share)
		}
	}
	if large.share.Share <= 0 || large.share.AgeMs < 0 || large.share.Asked <= large.share.Share {
		t.Errorf("log fields %+v", large.share)
	}
}

// Guards against an instance that knows nothing deciding by shares, and against shares without the contract.
func TestSharesChangeNothingWithoutKnowledge(t *testing.T) {
	for _, s := range []*shareService{nil, newShareService(true, nil)} {
		for range 20 {
			if d := shareRequest("w").decideByShare(s, busy, 1000); !d.Admit {
				t.Fatalf("refused within the limit of overload control: %+v", d)
			}
			if d := shareRequest("w").decideByShare(s, overloaded, 1000); d.Admit {
				t.Fatal("admitted beyond the limit of overload control")
			}
		}
	}
	if NewState(StateOptions{}).shares != nil || !(*shareService)(nil).handleDatagram((&loadshare.UsageMessage{}).Split()[0], nil) {
		t.Error("shares are on by default, or a usage message is taken for a load message")
	}
}
