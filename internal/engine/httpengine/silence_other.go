//go:build !linux

package httpengine

import "net"

// limitUnacknowledged does nothing where the system has no bound on unacknowledged bytes.
func limitUnacknowledged(net.Conn) error { return nil }
