package fleet

import (
	"errors"
	"net"
	"testing"
)

// countedNetwork is loopback on which all listeners after the first few fail; it counts those still open.
type countedNetwork struct {
	Loopback
	left int
	open int
}

var errNoListener = errors.New("no listener")

func (n *countedNetwork) Listen(host, addr string) (net.Listener, error) {
	if n.left == 0 {
		return nil, errNoListener
	}
	n.left--
	l, err := n.Loopback.Listen(host, addr)
	if err != nil {
		return nil, err
	}
	n.open++
	return &countedListener{Listener: l, network: n}, nil
}

type countedListener struct {
	net.Listener
	network *countedNetwork
	closed  bool
}

func (l *countedListener) Close() error {
	if !l.closed {
		l.closed = true
		l.network.open--
	}
	return l.Listener.Close()
}

// TestStartThatFailsLeavesNothingOpen fails each listener in turn and expects an error and no open listener.
func TestStartThatFailsLeavesNothingOpen(t *testing.T) {
	w := small(t, 1)
	for left := 0; ; left++ {
		n := &countedNetwork{left: left}
		f, err := Start(Options{World: w, FreePorts: true, Network: n, Entries: []EntryOptions{{Name: "entry-1"}}, ErrorLog: newServerLog(t)})
		if err == nil {
			f.Close()
			if n.open != 0 {
				t.Errorf("%d listeners left open by Close", n.open)
			}
			return
		}
		if !errors.Is(err, errNoListener) {
			t.Fatalf("%d listeners: %v", left, err)
		}
		if n.open != 0 {
			t.Errorf("%d listeners: %d left open", left, n.open)
		}
	}
}
