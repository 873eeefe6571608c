package faultmatrix

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/egrethoist/egrethoist/internal/fake/network"
	"github.com/egrethoist/egrethoist/internal/peer"
)

// hosts puts every process of a fleet on a host of its own.
type hosts struct {
	*network.Network

	mu    sync.Mutex
	ips   map[string]string
	lives map[string]*atomic.Bool  // cleared when the process that holds it crashes
	thaws map[string]chan struct{} // by address, of frozen hosts
}

func newHosts(n *network.Network) *hosts {
	return &hosts{Network: n, ips: map[string]string{}, lives: map[string]*atomic.Bool{}, thaws: map[string]chan struct{}{}}
}

const hostPort = "80"

// ip returns the address of a process, by which faults name it.
func (h *hosts) ip(process string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ips[process] == "" {
		h.ips[process] = fmt.Sprintf("127.2.0.%d", len(h.ips)+1)
	}
	return h.ips[process]
}

func (h *hosts) life(process string) *atomic.Bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lives[process] == nil {
		h.lives[process] = new(atomic.Bool)
		h.lives[process].Store(true)
	}
	return h.lives[process]
}

// Listen implements fleet.Network.
func (h *hosts) Listen(process, address string) (net.Listener, error) {
	if strings.HasSuffix(address, ":0") {
		address = net.JoinHostPort(h.ip(process), hostPort)
	}
	return h.Network.Listen(address)
}

// Dialer implements fleet.Network. It serves one life of the process: code of a crashed process that still runs
// in the test's address space reaches nobody.
func (h *hosts) Dialer(process string) peer.DialFunc {
	life := h.life(process)
	dial := h.Network.Dialer(h.ip(process))
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !life.Load() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ENETDOWN}
		}
		return dial(ctx, network, address)
	}
}

// crash ends the life of a process: its connections break, and what is left of it can open no new ones. kill
// stops the code. A process of the same name may be started afterwards.
func (h *hosts) crash(process string, kill func()) {
	h.retire(process)
	h.Kill(h.ip(process))
	kill()
	h.Revive(h.ip(process))
}

// retire ends the life of a process whose connections close in order.
func (h *hosts) retire(process string) {
	h.life(process).Store(false)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.lives, process)
}

// Freeze pauses all processes of a host, to the network and to the platform.
func (h *hosts) Freeze(ip string) {
	h.mu.Lock()
	if h.thaws[ip] == nil {
		h.thaws[ip] = make(chan struct{})
	}
	h.mu.Unlock()
	h.Network.Freeze(ip)
}

// Unfreeze lets them go on.
func (h *hosts) Unfreeze(ip string) {
	h.mu.Lock()
	if thaw := h.thaws[ip]; thaw != nil {
		close(thaw)
		delete(h.thaws, ip)
	}
	h.mu.Unlock()
	h.Network.Unfreeze(ip)
}

// awaitThaw returns once the host is not frozen.
func (h *hosts) awaitThaw(ip string) {
	h.mu.Lock()
	thaw := h.thaws[ip]
	h.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}
