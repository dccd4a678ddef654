package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/findings"
)

const nodeName = "node-a"

var testNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func testClock() time.Time { return testNow }

// testAuthority issues certificates in memory.
type testAuthority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         string
}

func newTestAuthority(t *testing.T) *testAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: testNow.Add(-time.Hour), NotAfter: testNow.Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &testAuthority{t, certificate, key, encodePEM("CERTIFICATE", der)}
}

// issue returns files with a certificate for a DNS name that ends after a time.
func (a *testAuthority) issue(name string, lifetime time.Duration) Files {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: testNow.Add(-time.Hour), NotAfter: testNow.Add(lifetime),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return Files{
		Certificate: writeFile(a.t, "certificate.pem", encodePEM("CERTIFICATE", der)),
		Key:         writeFile(a.t, "key.pem", encodePEM("PRIVATE KEY", keyDER)),
		Authorities: writeFile(a.t, "authorities.pem", a.pem),
	}
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

func openTest(t *testing.T, files Files) *Certificates {
	t.Helper()
	certificates, err := OpenCertificates(files, testClock)
	if err != nil {
		t.Fatal(err)
	}
	return certificates
}

func peerConfig(t *testing.T, files Files) *tls.Config {
	t.Helper()
	config, err := openTest(t, files).PeerConfig()
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// handshake connects both sides and returns each side's error. Under TLS 1.3
// a client learns of its refusal with its first read.
func handshake(t *testing.T, server, client *tls.Config) (serverError, clientError error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	clientEnd, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverEnd, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 1)
	go func() {
		defer serverEnd.Close()
		connection := tls.Server(serverEnd, server)
		err := connection.Handshake()
		if err == nil {
			_, err = connection.Write([]byte{1})
		}
		accepted <- err
	}()
	connection := tls.Client(clientEnd, client)
	_, clientError = connection.Read(make([]byte, 1))
	clientEnd.Close()
	return <-accepted, clientError
}

func TestPeerConfigAdmitsOnlyNodes(t *testing.T) {
	authority, stranger := newTestAuthority(t), newTestAuthority(t)
	node := peerConfig(t, authority.issue(nodeName, time.Minute))
	cases := []struct {
		name   string
		other  *tls.Config
		admits bool
	}{
		{"same authority", peerConfig(t, authority.issue(nodeName, time.Minute)), true},
		{"another authority", peerConfig(t, stranger.issue(nodeName, time.Minute)), false},
		{"no certificate", &tls.Config{RootCAs: node.RootCAs, Time: testClock}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := test.other.Clone()
			client.ServerName = nodeName
			serverError, clientError := handshake(t, node, client)
			if admitted := serverError == nil && clientError == nil; admitted != test.admits {
				t.Errorf("admitted %v, want %v (server %v, client %v)", admitted, test.admits, serverError, clientError)
			}
		})
	}
}

func TestReloadedCertificateServesStandingConfigurations(t *testing.T) {
	authority := newTestAuthority(t)
	files := authority.issue(nodeName, time.Minute)
	certificates := openTest(t, files)
	server, err := certificates.PeerConfig()
	if err != nil {
		t.Fatal(err)
	}
	overwrite(t, files.Key, "half written")
	if changed, err := certificates.ReloadIfChanged(); !changed || err == nil {
		t.Fatalf("a broken key: changed %v, error %v", changed, err)
	}
	next := authority.issue("node-b", 2*time.Minute)
	overwrite(t, files.Certificate, readFile(t, next.Certificate))
	overwrite(t, files.Key, readFile(t, next.Key))
	if err := certificates.Reload(); err != nil {
		t.Fatal(err)
	}
	client := peerConfig(t, next)
	client.ServerName = "node-b"
	if serverError, clientError := handshake(t, server, client); serverError != nil || clientError != nil {
		t.Errorf("after the reload: server %v, client %v", serverError, clientError)
	}
	if got := certificates.ExpiresAt(); !got.Equal(testNow.Add(2 * time.Minute)) {
		t.Errorf("expires at %v", got)
	}
}

func TestServerConfigServesCallers(t *testing.T) {
	authority := newTestAuthority(t)
	files := authority.issue("martenwheel.example", time.Minute)
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	files.Authorities = ""
	certificates := openTest(t, files)
	client := &tls.Config{RootCAs: pool, ServerName: "martenwheel.example", Time: testClock}
	if serverError, clientError := handshake(t, certificates.ServerConfig(), client); serverError != nil || clientError != nil {
		t.Errorf("server %v, client %v", serverError, clientError)
	}
	if _, err := certificates.PeerConfig(); err == nil {
		t.Error("mutual TLS was set up without authorities")
	}
}

func TestFaultyCertificateFilesAreFindings(t *testing.T) {
	authority := newTestAuthority(t)
	good, other := authority.issue(nodeName, time.Minute), authority.issue(nodeName, time.Minute)
	expired := authority.issue(nodeName, -time.Minute)
	absent := filepath.Join(t.TempDir(), "absent.pem")
	cases := []struct {
		name  string
		files Files
		want  []string
	}{
		{"nothing named", Files{}, []string{"certificate: no file", "private key: no file"}},
		{"all absent", Files{absent, absent, absent}, []string{"certificate cannot", "private key cannot", "authorities cannot"}},
		{"mismatched", Files{good.Certificate, other.Key, good.Authorities}, []string{"does not go with"}},
		{"another authority's", Files{good.Certificate, good.Key, newTestAuthority(t).issue(nodeName, time.Minute).Authorities}, []string{"would be refused by peers"}},
		{"expired", expired, []string{"expired at 2026-01-02T03:03:05Z"}},
		{"not PEM", Files{writeFile(t, "x", "hello"), good.Key, good.Authorities}, []string{"not in PEM form"}},
		{"key as authority", Files{good.Certificate, good.Key, good.Key}, []string{"no certificate"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := OpenCertificates(test.files, testClock)
			var faults *findings.Error
			if !errors.As(err, &faults) || len(faults.Findings) != len(test.want) {
				t.Fatalf("got %v, want %d findings", err, len(test.want))
			}
			for i, want := range test.want {
				if got := faults.Findings[i].String(); !strings.Contains(got, want) {
					t.Errorf("finding %d is %q, want %q in it", i, got, want)
				}
			}
		})
	}
}
