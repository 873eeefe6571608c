package httpengine

import (
	"net"
	"time"
)

// HTTP/1.1 has no heartbeat, and a plain service tells nothing of its runs: a call without an answer may be slow or
// lost. The heartbeat is that of TCP on the same connection, which the target's system answers while the target
// computes or is paused, and which nothing answers once whatever lies between has forgotten the connection.
const (
	keepIdle     = 1 * time.Second // without a byte before the first probe
	keepInterval = 1 * time.Second // between probes
	keepCount    = 2               // unanswered probes that break the connection
	// silentAfter is the time within which a silent connection breaks.
	silentAfter = keepIdle + keepCount*keepInterval
)

// watchSilence makes a connection break within silentAfter once it is silent for good.
func watchSilence(conn net.Conn) error {
	k, ok := conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	})
	if !ok {
		return nil
	}
	config := net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}
	if err := k.SetKeepAliveConfig(config); err != nil {
		return err
	}
	return limitUnacknowledged(conn)
}
