package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/security/securitytest"
)

// issue returns the TLS configuration of a node. change modifies its certificate,
// for example to set its name.
func issue(a *securitytest.Authority, change ...func(*x509.Certificate)) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{a.Issue(change...)},
		RootCAs:      a.Pool(),
		ClientCAs:    a.Pool(),
	}
}

func uriName(name string) func(*x509.Certificate) {
	return func(c *x509.Certificate) { c.URIs = []*url.URL{{Opaque: name, Scheme: "node"}} }
}

func TestMutualTLS(t *testing.T) {
	ours := securitytest.NewAuthority(t, time.Now())
	foreign := securitytest.NewAuthority(t, time.Now())
	for _, test := range []struct {
		name           string
		server, client *tls.Config
		clientID       api.NodeID
		works          bool
	}{
		{"common names", issue(ours, securitytest.CommonName("server")), issue(ours, securitytest.CommonName("client")), "client", true},
		{"DNS names", issue(ours, securitytest.DNSName("server")), issue(ours, securitytest.DNSName("client")), "client", true},
		{"URIs", issue(ours, securitytest.CommonName("server")), issue(ours, uriName("7")), "node:7", true},
		{"client of another authority", issue(ours, securitytest.CommonName("server")), issue(foreign, securitytest.CommonName("client")), "client", false},
		{"server of another authority", issue(foreign, securitytest.CommonName("server")), issue(ours, securitytest.CommonName("client")), "client", false},
		{"client says it is another node", issue(ours, securitytest.CommonName("server")), issue(ours, securitytest.CommonName("client")), "other", false},
		{"client without a name", issue(ours, securitytest.CommonName("server")), issue(ours, securitytest.CommonName("client")), "", false},
		{"server has another node's certificate", issue(ours, securitytest.CommonName("other")), issue(ours, securitytest.CommonName("client")), "client", false},
		{"expired certificate", issue(ours, securitytest.CommonName("server"), securitytest.Until(time.Now().Add(-time.Minute))), issue(ours, securitytest.CommonName("client")), "client", false},
		{"client without a certificate", issue(ours, securitytest.CommonName("server")), &tls.Config{RootCAs: ours.Pool()}, "client", false},
		{"client without TLS", issue(ours, securitytest.CommonName("server")), nil, "client", false},
		{"server without TLS", nil, issue(ours, securitytest.CommonName("client")), "client", false},
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
