package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/delegate"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// replyingConn answers each grant query at once, but the machine is suspended before the answer can be read.
type replyingConn struct {
	net.PacketConn
	service   *grantService
	suspended *time.Duration
	suspend   time.Duration
}

func (c *replyingConn) WriteTo(b []byte, from net.Addr) (int, error) {
	query, err := targetlimit.ParseGrantQuery(b)
	if err != nil {
		return 0, err
	}
	*c.suspended += c.suspend
	reply := targetlimit.GrantReply{Nonce: query.Nonce, Granted: true, Role: targetlimit.Standby}
	c.service.handleDatagram(reply.Append(nil), from)
	return len(b), nil
}

// Guards against a target that gets more requests than it has named: a grant, or the word of the standby that this instance still owns the target,
// counts from when its reply was handled, although the machine stood still for seconds before.
func TestLateReplyGrantsNothing(t *testing.T) {
	for _, c := range []struct {
		suspend time.Duration
		granted bool
	}{{0, true}, {4 * time.Second, false}} {
		suspended := time.Duration(0)
		s := NewState(StateOptions{Suspended: func() time.Duration { return suspended }})
		conn := &replyingConn{service: s.grantService, suspended: &suspended, suspend: c.suspend}
		s.grantService.setConn(conn)
		peer := &targetlimit.Grantor{Member: delegate.Member{Name: "b", Address: "127.0.0.1:9"}}
		reply, ok := s.grantService.requestGrant(t.Context(), peer, 7, targetlimit.Observation{}, grantPurpose{}, time.Now())
		if ok != c.granted || reply.Granted != c.granted {
			t.Errorf("suspended for %v: reply %+v taken: %v, want %v", c.suspend, reply, ok, c.granted)
		}
		s.grantService.confirmOwnership(peer, 7, targetlimit.Observation{})
		if confirmed := !s.grantService.roles[7].confirmedAt.IsZero(); confirmed != c.granted {
			t.Errorf("suspended for %v: ownership confirmed: %v, want %v", c.suspend, confirmed, c.granted)
		}
	}
}
