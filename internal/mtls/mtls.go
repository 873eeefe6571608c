// Package mtls builds the mutual TLS configuration for connections between the system's processes and to the platform. Both ends
// present a certificate that is signed by a trusted authority and names their role. Rotated files take effect without a restart.
package mtls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

var errNoCertificate = errors.New("peer shows no certificate")

// Options holds the paths of PEM files.
type Options struct {
	Cert string
	Key  string
	CA   string
}

// keyMaterial is a key pair with the certificate authorities that were read together with it.
type keyMaterial struct {
	pair tls.Certificate
	pool *x509.CertPool
}

// Source provides the key pair and the certificate authorities of the last successful reload. It is safe for concurrent use.
type Source struct {
	opts    Options
	current atomic.Pointer[keyMaterial]
}

// New reads the files. It returns an error if one can't be read or the key doesn't match the certificate.
func New(opts Options) (*Source, error) {
	s := &Source{opts: opts}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. On an error the previous key material stays in use. A reload in the middle of a rotation finds a key
// that doesn't match the certificate and returns an error.
func (s *Source) Reload() error {
	pair, err := tls.LoadX509KeyPair(s.opts.Cert, s.opts.Key)
	if err != nil {
		return trace.Wrap(err, "load key pair %s", s.opts.Cert)
	}
	pem, err := os.ReadFile(s.opts.CA)
	if err != nil {
		return trace.Wrap(err, "read authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return trace.BadParameter("read authorities: %s holds no certificate", s.opts.CA)
	}
	s.current.Store(&keyMaterial{pair: pair, pool: pool})
	return nil
}

// Run reloads the files at every interval until ctx ends, and returns the error of ctx. It logs when reloading starts to fail and when
// it succeeds again.
func (s *Source) Run(ctx context.Context, interval time.Duration) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		err := s.Reload()
		if failed := err != nil; failed != failing {
			failing = failed
			klog.InfoS("usability of the TLS files changed", "usable", !failed, "err", err)
		}
	}
}

// ServerConfig returns the configuration of a listener that requires a client certificate with one of the allowed roles.
func (s *Source) ServerConfig(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().pair, nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(c tls.ConnectionState) error {
			if err := s.verifyClient(c); err != nil {
				return err
			}
			return verifyRole(c, allowed)
		},
		// A resumed session would skip the verification against rotated authorities.
		SessionTicketsDisabled: true,
	}
}

// ClientConfigFunc returns a function that returns the configuration for each dial to a peer with one of the allowed roles.
func (s *Source) ClientConfigFunc(allowed ...Role) func(host string) *tls.Config {
	return func(host string) *tls.Config { return s.ClientConfig(host, allowed...) }
}

// ClientConfig returns the configuration for one dial to host, an IP address. The server's certificate must name host and one of the
// allowed roles. The configuration contains the current authorities; create a new one for each dial.
func (s *Source) ClientConfig(host string, allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		ServerName: host,
		RootCAs:    s.current.Load().pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().pair, nil
		},
		VerifyConnection: func(c tls.ConnectionState) error { return verifyRole(c, allowed) },
	}
}

// verifyClient verifies a client's certificate chain against the current authorities.
func (s *Source) verifyClient(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return trace.Wrap(errNoCertificate)
	}
	intermediates := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         s.current.Load().pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return trace.Wrap(err, "verify client")
}
