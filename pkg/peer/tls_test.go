package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/url"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// authority issues certificates for tests.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t), pool: x509.NewCertPool()}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a.certificate = sign(t, template, template, a.key, a.key)
	a.pool.AddCert(a.certificate)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t *testing.T, template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	data, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		t.Fatal(err)
	}
	return certificate
}

// issue returns the configuration of a node; name changes its certificate.
func (a *authority) issue(name func(*x509.Certificate)) *tls.Config {
	a.t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	name(template)
	key := newKey(a.t)
	certificate := sign(a.t, template, a.certificate, key, a.key)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{certificate.Raw}, PrivateKey: key}},
		RootCAs:      a.pool,
		ClientCAs:    a.pool,
	}
}

func commonName(name string) func(*x509.Certificate) {
	return func(c *x509.Certificate) { c.Subject.CommonName = name }
}

func dnsName(name string) func(*x509.Certificate) {
	return func(c *x509.Certificate) { c.DNSNames = []string{name} }
}

func uriName(name string) func(*x509.Certificate) {
	return func(c *x509.Certificate) { c.URIs = []*url.URL{{Opaque: name, Scheme: "node"}} }
}

func expired(c *x509.Certificate) {
	c.Subject.CommonName = "server"
	c.NotAfter = time.Now().Add(-time.Minute)
}

func TestMutualTLS(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	for _, test := range []struct {
		name           string
		server, client *tls.Config
		clientID       api.NodeID
		works          bool
	}{
		{"common names", ours.issue(commonName("server")), ours.issue(commonName("client")), "client", true},
		{"DNS names", ours.issue(dnsName("server")), ours.issue(dnsName("client")), "client", true},
		{"URIs", ours.issue(commonName("server")), ours.issue(uriName("7")), "node:7", true},
		{"client of another authority", ours.issue(commonName("server")), foreign.issue(commonName("client")), "client", false},
		{"server of another authority", foreign.issue(commonName("server")), ours.issue(commonName("client")), "client", false},
		{"client says it is another node", ours.issue(commonName("server")), ours.issue(commonName("client")), "other", false},
		{"client without a name", ours.issue(commonName("server")), ours.issue(commonName("client")), "", false},
		{"server has another node's certificate", ours.issue(commonName("other")), ours.issue(commonName("client")), "client", false},
		{"expired certificate", ours.issue(expired), ours.issue(commonName("client")), "client", false},
		{"client without a certificate", ours.issue(commonName("server")), &tls.Config{RootCAs: ours.pool}, "client", false},
		{"client without TLS", ours.issue(commonName("server")), nil, "client", false},
		{"server without TLS", nil, ours.issue(commonName("client")), "client", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			handler := newRecorder()
			config := testConfig("server")
			config.TLS = test.server
			server := startTestServer(t, config, handler)
			config = testConfig(test.clientID)
			config.TLS = test.client
			client := startTestClient(t, config)
			_, err := client.Call(t.Context(), server.Self().PeerAddress, testQuestion{Text: "x"})
			if test.works && err != nil {
				t.Error(err)
			}
			if !test.works && !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrUnknownOutcome) {
				t.Errorf("got %v, want a failure", err)
			}
			if got := len(handler.received()); (got == 1) != test.works {
				t.Errorf("handler got %d messages", got)
			}
		})
	}
}
