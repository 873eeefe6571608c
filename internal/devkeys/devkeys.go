// Package devkeys makes an authority and key pairs for trials of mutual TLS. The authority's key lies beside the
// certificates, so nothing of it is fit for real work.
package devkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/mtls"
)

const (
	authorityLife = 365 * 24 * time.Hour
	leafLife      = 30 * 24 * time.Hour
	clockSkew     = 5 * time.Minute // between the machine that signs and one that checks
	serialBits    = 127
)

// Files of the authority.
const (
	CAFile    = "ca.pem"
	caKeyFile = "ca-key.pem"
)

// Holder is who a key pair is for.
type Holder struct {
	Name  string
	Roles []mtls.Role
	IPs   []netip.Addr // by which peers dial it
}

// Issue writes NAME.pem and NAME-key.pem in dir, signed by the authority in dir, which it makes if there is none.
// Each file is replaced at once, the certificate last; a process that reads between the two keeps what it has.
func Issue(dir string, h Holder, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return trace.Wrap(err, "make directory of keys")
	}
	ca, err := loadAuthority(dir)
	if errors.Is(err, fs.ErrNotExist) {
		ca, err = makeAuthority(dir, now)
	}
	if err != nil {
		return trace.Wrap(err, "authority in %v", dir)
	}
	leaf := &x509.Certificate{
		Subject:     pkix.Name{CommonName: h.Name},
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    now.Add(leafLife),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, r := range h.Roles {
		leaf.URIs = append(leaf.URIs, r.URI())
	}
	for _, ip := range h.IPs {
		leaf.IPAddresses = append(leaf.IPAddresses, net.IP(ip.AsSlice()))
	}
	_, err = sign(dir, h.Name, leaf, ca)
	return trace.Wrap(err, "key of %v", h.Name)
}

// authority signs certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func makeAuthority(dir string, now time.Time) (*authority, error) {
	return sign(dir, "ca", &x509.Certificate{
		Subject:               pkix.Name{CommonName: "egrethoist development authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}, nil)
}

// sign makes a key, has the authority sign its certificate, and writes both. Without an authority it signs itself.
func sign(dir, name string, cert *x509.Certificate, by *authority) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	if cert.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)); err != nil {
		return nil, err
	}
	if by == nil {
		by = &authority{cert: cert, key: key}
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, by.cert, &key.PublicKey, by.key)
	if err != nil {
		return nil, err
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	if err := replace(filepath.Join(dir, name+"-key.pem"), "PRIVATE KEY", pkcs8); err != nil {
		return nil, err
	}
	if err := replace(filepath.Join(dir, name+".pem"), "CERTIFICATE", der); err != nil {
		return nil, err
	}
	signed, err := x509.ParseCertificate(der)
	return &authority{cert: signed, key: key}, err
}

func loadAuthority(dir string) (*authority, error) {
	der, err := read(filepath.Join(dir, CAFile))
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	if der, err = read(filepath.Join(dir, caKeyFile)); err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, err
	}
	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, trace.BadParameter("%v holds no elliptic curve key", caKeyFile)
	}
	return &authority{cert: cert, key: ec}, nil
}

func read(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, trace.BadParameter("%v is not PEM", file)
	}
	return block.Bytes, nil
}

// replace writes a PEM file so that a reader sees the old or the new one whole.
func replace(file, kind string, der []byte) error {
	next := file + ".next"
	if err := os.WriteFile(next, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		return err
	}
	return os.Rename(next, file)
}
