package security

import (
	"crypto/tls"
	"errors"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/security/securitytest"
)

const nodeName = "node-a"

var testNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func testClock() time.Time { return testNow }

// issue writes files with a certificate for a DNS name that expires after lifetime.
func issue(t *testing.T, a *securitytest.Authority, name string, lifetime time.Duration) Files {
	t.Helper()
	end := securitytest.Until(testNow.Add(lifetime))
	certificate, key := securitytest.EncodePEM(t, a.Issue(securitytest.CommonName(name), securitytest.DNSName(name), end))
	return Files{
		Certificate: writeFile(t, "certificate.pem", certificate),
		Key:         writeFile(t, "key.pem", key),
		Authorities: writeFile(t, "authorities.pem", a.PEM()),
	}
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

// handshake connects both sides and returns each side's error. Under TLS 1.3 a client
// learns that it was refused only on its first read.
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
	authority, stranger := securitytest.NewAuthority(t, testNow), securitytest.NewAuthority(t, testNow)
	node := peerConfig(t, issue(t, authority, nodeName, time.Minute))
	cases := []struct {
		name   string
		other  *tls.Config
		admits bool
	}{
		{"same authority", peerConfig(t, issue(t, authority, nodeName, time.Minute)), true},
		{"another authority", peerConfig(t, issue(t, stranger, nodeName, time.Minute)), false},
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
	authority := securitytest.NewAuthority(t, testNow)
	files := issue(t, authority, nodeName, time.Minute)
	certificates := openTest(t, files)
	server, err := certificates.PeerConfig()
	if err != nil {
		t.Fatal(err)
	}
	overwrite(t, files.Key, "half written")
	if changed, err := certificates.ReloadIfChanged(); !changed || err == nil {
		t.Fatalf("invalid key file: changed %v, error %v; want an error", changed, err)
	}
	next := issue(t, authority, "node-b", 2*time.Minute)
	overwrite(t, files.Certificate, readFile(t, next.Certificate))
	overwrite(t, files.Key, readFile(t, next.Key))
	if err := certificates.Reload(); err != nil {
		t.Fatal(err)
	}
	client := peerConfig(t, next)
	client.ServerName = "node-b"
	if serverError, clientError := handshake(t, server, client); serverError != nil || clientError != nil {
		t.Errorf("handshake after the reload: server %v, client %v", serverError, clientError)
	}
	if got := certificates.ExpiresAt(); !got.Equal(testNow.Add(2 * time.Minute)) {
		t.Errorf("expires at %v", got)
	}
}

func TestServerConfigServesCallers(t *testing.T) {
	authority := securitytest.NewAuthority(t, testNow)
	files := issue(t, authority, "martenwheel.example", time.Minute)
	files.Authorities = ""
	certificates := openTest(t, files)
	client := &tls.Config{RootCAs: authority.Pool(), ServerName: "martenwheel.example", Time: testClock}
	if serverError, clientError := handshake(t, certificates.ServerConfig(), client); serverError != nil || clientError != nil {
		t.Errorf("server %v, client %v", serverError, clientError)
	}
	if _, err := certificates.PeerConfig(); err == nil {
		t.Error("PeerConfig succeeded without authorities")
	}
}

func TestFaultyCertificateFilesAreFindings(t *testing.T) {
	authority := securitytest.NewAuthority(t, testNow)
	good, other := issue(t, authority, nodeName, time.Minute), issue(t, authority, nodeName, time.Minute)
	expired := issue(t, authority, nodeName, -time.Minute)
	absent := filepath.Join(t.TempDir(), "absent.pem")
	cases := []struct {
		name  string
		files Files
		want  []string
	}{
		{"nothing named", Files{}, []string{"certificate: no file", "private key: no file"}},
		{"all absent", Files{absent, absent, absent}, []string{"certificate cannot", "private key cannot", "authorities cannot"}},
		{"mismatched", Files{good.Certificate, other.Key, good.Authorities}, []string{"does not go with"}},
		{"another authority's", Files{good.Certificate, good.Key, issue(t, securitytest.NewAuthority(t, testNow), nodeName, time.Minute).Authorities}, []string{"would be refused by peers"}},
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
