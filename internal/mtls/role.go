package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Role is the kind of a process. A certificate names the roles of its holder as URI subject alternative names.
type Role string

// Roles.
const (
	RoleEntry    Role = "entry"
	RoleSidecar  Role = "sidecar"
	RoleOperator Role = "operator" // egretctl
	RolePlatform Role = "platform" // key-value service, instance list, weight store
	RoleStore    Role = "store"    // KV-cache store
)

// Roles lists all roles.
var Roles = []Role{RoleEntry, RoleSidecar, RoleOperator, RolePlatform, RoleStore}

const rolePrefix = "urn:egrethoist:role:"

// URI returns the URI that names the role in a certificate.
func (r Role) URI() *url.URL {
	rest, _ := strings.CutPrefix(rolePrefix, "urn:")
	return &url.URL{Scheme: "urn", Opaque: rest + string(r)}
}

// RoleError is returned when a peer's certificate names none of the allowed roles.
type RoleError struct {
	Peer string // common name of the peer's certificate
	Has  []Role // roles that the certificate names
	Want []Role // roles that are allowed
}

func (e *RoleError) Error() string {
	return fmt.Sprintf("peer %q has the roles %v, want one of %v", e.Peer, e.Has, e.Want)
}

// rolesOf returns the roles that a certificate names.
func rolesOf(cert *x509.Certificate) []Role {
	var roles []Role
	for _, u := range cert.URIs {
		if name, ok := strings.CutPrefix(u.String(), rolePrefix); ok {
			roles = append(roles, Role(name))
		}
	}
	return roles
}

// verifyRole returns nil if the peer has one of the wanted roles, and a RoleError otherwise. The peer's certificate must already be
// verified.
func verifyRole(c tls.ConnectionState, want []Role) error {
	if len(c.PeerCertificates) == 0 {
		return errNoCertificate
	}
	cert := c.PeerCertificates[0]
	has := rolesOf(cert)
	for _, r := range has {
		if slices.Contains(want, r) {
			return nil
		}
	}
	return &RoleError{Peer: cert.Subject.CommonName, Has: has, Want: want}
}

// RequireRole returns a handler that forwards requests from peers with one of the roles to h and answers others with status 403.
// Requests without TLS pass, because the settings allow plain text only on loopback.
func RequireRole(h http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil {
			if err := verifyRole(*r.TLS, roles); err != nil {
				http.Error(w, err.Error(), http.StatusForbidden)
				return
			}
		}
		h.ServeHTTP(w, r)
	})
}
