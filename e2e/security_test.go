package e2e

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/security"
	"martenwheel.dev/pkg/security/securitytest"
)

// authority is the certificate authority of a site.
type authority struct {
	*securitytest.Authority
	file string // path of its certificate
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	a := &authority{Authority: securitytest.NewAuthority(t, time.Now()), file: filepath.Join(t.TempDir(), name+".pem")}
	writeFile(t, a.file, a.PEM())
	return a
}

func writeFile(t *testing.T, file, content string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a node's certificate and key and returns the settings for them. The node accepts
// peers whose certificates come from trusted.
func (a *authority) issue(t *testing.T, id api.NodeID, trusted *authority) string {
	t.Helper()
	onLoopback := func(c *x509.Certificate) { c.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)} }
	issued := a.Issue(securitytest.CommonName(string(id)), securitytest.DNSName(string(id)), onLoopback)
	certificate, key := securitytest.EncodePEM(t, issued)
	directory := t.TempDir()
	certificateFile, keyFile := filepath.Join(directory, "node.pem"), filepath.Join(directory, "node.key")
	writeFile(t, certificateFile, certificate)
	writeFile(t, keyFile, key)
	return fmt.Sprintf("tls: {certificate_file: %q, key_file: %q, ca_file: %q}\n", certificateFile, keyFile, trusted.file)
}

// client returns an HTTP client that trusts the authority.
func (a *authority) client() *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.Pool(), MinVersion: tls.VersionTLS12}}}
}

// newKeyFile writes a key file with one new key, and returns the key and the path.
func newKeyFile(t *testing.T, name string) (key, file string) {
	t.Helper()
	key, line, err := security.GenerateKey(name)
	if err != nil {
		t.Fatal(err)
	}
	file = filepath.Join(t.TempDir(), name+".keys")
	if err := os.WriteFile(file, []byte(line+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return key, file
}

// TestKeysAndCertificates runs a cluster with TLS on all listeners and with API keys for callers
// and operators. Only requests with the right key may pass, a node with a certificate from another
// authority must not become a peer, and no key may appear in a log.
func TestKeysAndCertificates(t *testing.T) {
	t.Parallel()
	site, foreign := newAuthority(t, "site"), newAuthority(t, "stranger")
	callerKey, callersFile := newKeyFile(t, "pump-7")
	operatorKey, operatorsFile := newKeyFile(t, "ada")
	operatorKeyFile := filepath.Join(t.TempDir(), "ada.key")
	if err := os.WriteFile(operatorKeyFile, []byte(operatorKey+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	keys := fmt.Sprintf("keys: {callers_file: %q, operators_file: %q}\n", callersFile, operatorsFile)
	c := startClusterWith(t, options{
		settings: func(id api.NodeID) string { return keys + site.issue(t, id, site) },
		operator: &operatorAccess{
			client: site.client(),
			key:    operatorKey,
			flags:  []string{"--key-file", operatorKeyFile, "--ca-file", site.file},
		},
	})
	c.owner(t) // the nodes can reach each other

	t.Run("callers", func(t *testing.T) { testCallerAccess(t, c, site, callerKey, operatorKey) })
	t.Run("operators", func(t *testing.T) { testOperatorAccess(t, c, site, callerKey) })
	t.Run("plain HTTP", func(t *testing.T) {
		for _, address := range []string{c.nodes[0].Callers, c.nodes[0].Operators} {
			response, err := http.Get("http://" + address + operator.PathHealth)
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode < http.StatusBadRequest {
				t.Errorf("%s answers plain HTTP: %s", address, response.Status)
			}
		}
	})
	t.Run("strange node", func(t *testing.T) { testForeignNode(t, c, foreign, keys) })
	for _, node := range c.nodes {
		for _, key := range []string{callerKey, operatorKey} {
			if strings.Contains(node.logs.String(), key) {
				t.Errorf("the log of %s holds a key", node.id)
			}
		}
	}
}

func testCallerAccess(t *testing.T, c *cluster, site *authority, callerKey, operatorKey string) {
	for name, access := range map[string]struct {
		key    string
		status int // 0: served
	}{
		"right key":      {callerKey, 0},
		"wrong key":      {callerKey + "x", http.StatusUnauthorized},
		"operator's key": {operatorKey, http.StatusUnauthorized},
	} {
		client := openai.NewClient(
			option.WithBaseURL("https://"+c.nodes[1].Callers+"/v1/"),
			option.WithAPIKey(access.key),
			option.WithHTTPClient(site.client()),
			option.WithMaxRetries(0),
		)
		_, err := client.Chat.Completions.New(t.Context(), parameters("glaze-7b"))
		refusal, _ := refusalOf(err)
		switch {
		case access.status == 0 && err != nil:
			t.Errorf("%s: %v", name, err)
		case access.status != 0 && (refusal == nil || refusal.StatusCode != access.status || !notRun(err)):
			t.Errorf("%s: %v, want status %d, marked as not run", name, err, access.status)
		}
	}
}

func testOperatorAccess(t *testing.T, c *cluster, site *authority, callerKey string) {
	for _, key := range []string{"", callerKey} {
		client := operator.NewClient(c.operatorURL(c.nodes[0]), key, site.client())
		if _, err := client.Edit(t.Context(), keepAliveEdit(0, "9m")); !isUnauthorized(err) {
			t.Errorf("edit without an operator's key: %v, want unauthorized", err)
		}
		if _, err := client.Status(t.Context()); !isUnauthorized(err) {
			t.Errorf("status without an operator's key: %v, want unauthorized", err)
		}
	}
	c.setTree(t, "/", "keep_alive=9m")
	c.waitKeepAlive(t, "9m")
	if _, err := operator.NewClient(c.operatorURL(c.nodes[0]), "", http.DefaultClient).Status(t.Context()); err == nil {
		t.Error("a client trusts a certificate from an unknown authority")
	}
}

func isUnauthorized(err error) bool {
	refused, ok := err.(*operator.RequestError)
	return ok && refused.Detail.Code == operator.CodeUnauthorized
}

// testForeignNode starts a node whose certificate comes from another authority, with the cluster's
// nodes as seeds. It must not become a member, nor get the tree from them.
func testForeignNode(t *testing.T, c *cluster, foreignAuthority *authority, keys string) {
	foreignCluster := &cluster{platform: c.platform, platformAddress: c.platformAddress, nodes: c.nodes, options: c.options}
	foreignCluster.settings = func(id api.NodeID) string { return keys + foreignAuthority.issue(t, id, foreignAuthority) }
	node := foreignCluster.startNode(t, "zone-x")
	waitFor(t, "the foreign node is refused by its seeds", func() bool {
		for _, line := range node.lines(t) {
			text := fmt.Sprint(line)
			if strings.Contains(text, "certificate") || strings.Contains(text, "unknown authority") {
				return true
			}
		}
		return false
	})
	for _, member := range c.status(t, c.nodes[0]).Nodes {
		if member.ID == node.id {
			t.Errorf("%s is a member: %+v", node.id, member)
		}
	}
}
