// Package securitytest issues certificates for tests.
package securitytest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"testing"
	"time"
)

// validity is how long before and after the authority's present time certificates
// are valid.
const validity = time.Hour

// Authority issues certificates within one test.
type Authority struct {
	t           testing.TB
	now         time.Time
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority whose certificates are valid around now.
func NewAuthority(t testing.TB, now time.Time) *Authority {
	t.Helper()
	a := &Authority{t: t, now: now, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             now.Add(-validity),
		NotAfter:              now.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a.certificate = a.sign(template, template, &a.key.PublicKey)
	return a
}

// Pool returns a pool that contains only the authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// PEM returns the authority's certificate in PEM form.
func (a *Authority) PEM() string {
	return encodePEM("CERTIFICATE", a.certificate.Raw)
}

// Issue returns a certificate for servers and clients with its private key. Each
// change is applied to the certificate before it is signed.
func (a *Authority) Issue(change ...func(*x509.Certificate)) tls.Certificate {
	a.t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotBefore:    a.now.Add(-validity),
		NotAfter:     a.now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	for _, apply := range change {
		apply(template)
	}
	key := newKey(a.t)
	issued := a.sign(template, a.certificate, &key.PublicKey)
	return tls.Certificate{Certificate: [][]byte{issued.Raw}, PrivateKey: key}
}

// CommonName returns a change for Issue that sets the common name.
func CommonName(name string) func(*x509.Certificate) {
	return func(c *x509.Certificate) { c.Subject.CommonName = name }
}

// DNSName returns a change for Issue that sets a DNS name.
func DNSName(name string) func(*x509.Certificate) {
	return func(c *x509.Certificate) { c.DNSNames = []string{name} }
}

// Until returns a change for Issue that sets the end of the validity.
func Until(end time.Time) func(*x509.Certificate) {
	return func(c *x509.Certificate) { c.NotAfter = end }
}

// EncodePEM returns an issued certificate and its private key in PEM form.
func EncodePEM(t testing.TB, issued tls.Certificate) (certificate, key string) {
	t.Helper()
	der, err := x509.MarshalPKCS8PrivateKey(issued.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	return encodePEM("CERTIFICATE", issued.Certificate[0]), encodePEM("PRIVATE KEY", der)
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *Authority) sign(template, parent *x509.Certificate, key *ecdsa.PublicKey) *x509.Certificate {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return certificate
}
