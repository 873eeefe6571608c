package standin

import (
	"context"
	"net/http"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/devkeys"
	"github.com/egrethoist/egrethoist/internal/mtls"
	"github.com/egrethoist/egrethoist/internal/platform/rpc"
	"github.com/egrethoist/egrethoist/internal/world"
)

var loopback = []netip.Addr{netip.MustParseAddr("127.0.0.1")}

func issue(t *testing.T, dir, name string, roles ...mtls.Role) {
	t.Helper()
	if err := devkeys.Issue(dir, devkeys.Holder{Name: name, Roles: roles, IPs: loopback}, time.Now()); err != nil {
		t.Fatal(err)
	}
}

// source reads the pair of a name, with the authorities of another directory.
func source(t *testing.T, dir, name, trust string) *mtls.Source {
	t.Helper()
	s, err := mtls.New(mtls.Options{
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+"-key.pem"),
		CA:   filepath.Join(trust, devkeys.CAFile),
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestPlatformUnderTLS asks the platform's stand-in with right and wrong keys, and once more after all were replaced.
func TestPlatformUnderTLS(t *testing.T) {
	ours, theirs := t.TempDir(), t.TempDir()
	issue(t, ours, "platform", mtls.RolePlatform)
	issue(t, ours, "operator", mtls.RoleOperator)
	issue(t, ours, "store", mtls.RoleStore)
	issue(t, theirs, "operator", mtls.RoleOperator)
	keys := source(t, ours, "platform", ours)
	servers, err := Listen(&world.World{}, Options{KV: "127.0.0.1:0", TLS: keys})
	if err != nil {
		t.Fatal(err)
	}
	go servers[0].Run()
	defer servers[0].Stop(nil)
	address := servers[0].Listener.Addr().String()
	get := func(c *rpc.Client) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := c.Get(ctx, "config/current")
		return err
	}
	secure := func(s *mtls.Source, expect mtls.Role) *rpc.Client {
		return rpc.NewTLSClient(s.ClientConfigFunc(expect), address)
	}
	operator := source(t, ours, "operator", ours)
	if err := get(secure(operator, mtls.RolePlatform)); err != nil {
		t.Errorf("operator: %v", err)
	}
	for name, c := range map[string]*rpc.Client{
		"plain text":               rpc.NewClient(http.DefaultClient, "http://"+address),
		"key of another authority": secure(source(t, theirs, "operator", ours), mtls.RolePlatform),
		"authority not trusted":    secure(source(t, theirs, "operator", theirs), mtls.RolePlatform),
		"role that has no say":     secure(source(t, ours, "store", ours), mtls.RolePlatform),
		"server of another role":   secure(operator, mtls.RoleStore),
	} {
		if get(c) == nil {
			t.Errorf("%s: answered", name)
		}
	}
	issue(t, ours, "platform", mtls.RolePlatform)
	issue(t, ours, "operator", mtls.RoleOperator)
	for _, s := range []*mtls.Source{keys, operator} {
		if err := s.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	if err := get(secure(operator, mtls.RolePlatform)); err != nil {
		t.Errorf("operator with a new key: %v", err)
	}
}
