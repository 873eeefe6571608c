package mtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert, key}
}

// write writes a sidecar's key pair for ip, signed by a, and the certificate of the authority trust to the files of opts.
func (a authority) write(t *testing.T, opts Options, ip string, trust authority) {
	t.Helper()
	a.writeRoles(t, opts, ip, trust, RoleSidecar)
}

// writeRoles is write for a certificate with the given roles.
func (a authority) writeRoles(t *testing.T, opts Options, ip string, trust authority, roles ...Role) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, r := range roles {
		tmpl.URIs = append(tmpl.URIs, r.URI())
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, opts.Cert, "CERTIFICATE", der)
	writePEM(t, opts.Key, "PRIVATE KEY", pkcs8)
	writePEM(t, opts.CA, "CERTIFICATE", trust.cert.Raw)
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// options returns paths in a new temporary directory.
func options(t *testing.T) Options {
	dir := t.TempDir()
	return Options{filepath.Join(dir, "cert"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")}
}

func newSource(t *testing.T, opts Options) *Source {
	t.Helper()
	s, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake connects client to server, which the client expects to be ip, and returns the client's and the server's error.
func handshake(t *testing.T, client, server *Source, ip string) (error, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig(RoleSidecar))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
		done <- err
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), client.ClientConfig(ip, RoleSidecar))
	if err == nil {
		conn.Close()
	}
	return err, <-done
}

// Guards against accepting a peer with a certificate from an untrusted authority or for another address.
func TestMutualAuthentication(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	good, foreign := options(t), options(t)
	ours.write(t, good, "127.0.0.1", ours)
	theirs.write(t, foreign, "127.0.0.1", ours) // trusts ours, but isn't signed by it
	for _, tc := range []struct {
		name           string
		client, server Options
		dial           string
		clientOK       bool
		serverOK       bool
	}{
		{"both known", good, good, "127.0.0.1", true, true},
		{"unknown client", foreign, good, "127.0.0.1", true, false},
		{"unknown server", good, foreign, "127.0.0.1", false, false},
		{"other address", good, good, "127.0.0.2", false, false},
	} {
		cerr, serr := handshake(t, newSource(t, tc.client), newSource(t, tc.server), tc.dial)
		if (cerr == nil) != tc.clientOK || (serr == nil) != tc.serverOK {
			t.Errorf("%s: client %v, server %v", tc.name, cerr, serr)
		}
	}
}

// Guards against a partly written rotation replacing a working key pair, and against a rotated pair that doesn't take effect.
func TestReload(t *testing.T) {
	oldCA, newCA := newAuthority(t), newAuthority(t)
	opts := options(t)
	oldCA.write(t, opts, "127.0.0.1", oldCA)
	s := newSource(t, opts)
	writePEM(t, opts.Key, "PRIVATE KEY", []byte("half written"))
	if s.Reload() == nil {
		t.Error("no error from Reload with an invalid key")
	}
	if c, srv := handshake(t, s, s, "127.0.0.1"); c != nil || srv != nil {
		t.Errorf("previous key pair not in use after a failed reload: client %v, server %v", c, srv)
	}
	newCA.write(t, opts, "127.0.0.1", newCA)
	if err := s.Reload(); err != nil {
		t.Fatal(err)
	}
	peer := options(t)
	newCA.write(t, peer, "127.0.0.1", newCA)
	if c, srv := handshake(t, newSource(t, peer), s, "127.0.0.1"); c != nil || srv != nil {
		t.Errorf("rotated key pair not in use: client %v, server %v", c, srv)
	}
}

// Guards against accepting a peer whose certificate names none of the allowed roles.
func TestRoles(t *testing.T) {
	ours := newAuthority(t)
	source := func(roles ...Role) *Source {
		opts := options(t)
		ours.writeRoles(t, opts, "127.0.0.1", ours, roles...)
		return newSource(t, opts)
	}
	for _, tc := range []struct {
		name               string
		client, server     []Role
		clientOK, serverOK bool
	}{
		{"right roles", []Role{RoleSidecar}, []Role{RoleSidecar}, true, true},
		{"one of several", []Role{RoleEntry, RoleSidecar}, []Role{RoleStore, RoleSidecar}, true, true},
		{"client of another role", []Role{RoleOperator}, []Role{RoleSidecar}, true, false},
		{"client without a role", nil, []Role{RoleSidecar}, true, false},
		{"server of another role", []Role{RoleSidecar}, []Role{RoleEntry}, false, false},
		{"server without a role", []Role{RoleSidecar}, nil, false, false},
	} {
		cerr, serr := handshake(t, source(tc.client...), source(tc.server...), "127.0.0.1")
		if (cerr == nil) != tc.clientOK || (serr == nil) != tc.serverOK {
			t.Errorf("%s: client %v, server %v", tc.name, cerr, serr)
		}
	}
}

// Guards against serving a request from a role that the listener allows but the handler doesn't.
func TestRequireRole(t *testing.T) {
	ours := newAuthority(t)
	source := func(role Role) *Source {
		opts := options(t)
		ours.writeRoles(t, opts, "127.0.0.1", ours, role)
		return newSource(t, opts)
	}
	srv := httptest.NewUnstartedServer(RequireRole(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), RoleEntry))
	srv.Listener = tls.NewListener(srv.Listener, source(RoleSidecar).ServerConfig(RoleEntry, RoleSidecar))
	srv.Start()
	defer srv.Close()
	for role, want := range map[Role]int{RoleEntry: http.StatusOK, RoleSidecar: http.StatusForbidden} {
		transport := &http.Transport{TLSClientConfig: source(role).ClientConfig("127.0.0.1", RoleSidecar), ForceAttemptHTTP2: true}
		client := http.Client{Transport: transport}
		resp, err := client.Get("https://" + srv.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		transport.CloseIdleConnections()
		if resp.StatusCode != want {
			t.Errorf("%s: status %d, want %d", role, resp.StatusCode, want)
		}
	}
}
