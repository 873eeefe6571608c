package fleet

import (
	"fmt"
	"net"
	"strings"
	"sync"

	"github.com/egrethoist/egrethoist/internal/fake/network"
	"github.com/egrethoist/egrethoist/internal/peer"
)

// Memory is a Network in memory, with faults at run time. Every process has an IP number of its own.
type Memory struct {
	*network.Network

	mu  sync.Mutex
	ips map[string]string // by process name
}

// NewMemory puts processes on n.
func NewMemory(n *network.Network) *Memory {
	return &Memory{Network: n, ips: map[string]string{}}
}

// memoryPort is the port that every process listens on at its own IP number.
const memoryPort = "80"

// IP returns the IP number of a process, by which faults name it.
func (m *Memory) IP(process string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	ip, ok := m.ips[process]
	if !ok {
		n := len(m.ips) + 1
		ip = fmt.Sprintf("127.1.%d.%d", n>>8, n&0xff)
		m.ips[process] = ip
	}
	return ip
}

// Listen implements fleet's Network.
func (m *Memory) Listen(process, addr string) (net.Listener, error) {
	if strings.HasSuffix(addr, ":0") {
		addr = net.JoinHostPort(m.IP(process), memoryPort)
	}
	return m.Network.Listen(addr)
}

// Dialer implements fleet's Network.
func (m *Memory) Dialer(process string) peer.DialFunc { return m.Network.Dialer(m.IP(process)) }
