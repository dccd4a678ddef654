package security

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/findings"
)

// Files names the PEM files of one TLS identity.
type Files struct {
	Certificate string // the certificate and its intermediate certificates
	Key         string // private key of the certificate
	Authorities string // authorities that may issue the certificates of nodes; required for PeerConfig
}

// Certificates is a TLS identity read from files. It is safe for concurrent use.
type Certificates struct {
	files     Files
	clock     func() time.Time
	mutex     sync.Mutex // serialises reloads
	lastStamp fileStamp  // state of the files when they were last read
	identity  atomic.Pointer[identity]
}

// identity is the content of the files.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool // nil if Files.Authorities is empty
}

// OpenCertificates reads the files. The error for missing, expired or mismatched
// files is a *findings.Error with all faults.
func OpenCertificates(files Files, clock func() time.Time) (*Certificates, error) {
	certificates := &Certificates{files: files, clock: clock}
	if err := certificates.Reload(); err != nil {
		return nil, err
	}
	return certificates, nil
}

// Reload reads the files again. After an error the previous identity stays in force.
// Existing connections are not closed.
func (c *Certificates) Reload() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reload()
}

// ReloadIfChanged reads the files again if one changed since they were last read.
func (c *Certificates) ReloadIfChanged() (changed bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stamp() == c.lastStamp {
		return false, nil
	}
	return true, c.reload()
}

func (c *Certificates) stamp() fileStamp {
	return stampFiles(c.files.Certificate, c.files.Key, c.files.Authorities)
}

func (c *Certificates) reload() error {
	c.lastStamp = c.stamp()
	loaded, err := loadIdentity(c.files, c.clock())
	if err != nil {
		return err
	}
	c.identity.Store(loaded)
	return nil
}

// ExpiresAt returns when the certificate in force expires.
func (c *Certificates) ExpiresAt() time.Time {
	return c.identity.Load().certificate.Leaf.NotAfter
}

// ServerConfig returns the TLS configuration of a listener for callers or operators.
// It always uses the certificate in force, also after a reload.
func (c *Certificates) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		Time:       c.clock,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.identity.Load().certificate, nil
		},
	}
}

// PeerConfig returns the TLS configuration for both sides of connections between
// nodes. Each side must present a certificate from one of the authorities; pkg/peer
// checks that it names the node. The certificate is always the one in force, also
// after a reload, but the authorities are those at the time of this call. It fails
// if Files.Authorities is empty.
func (c *Certificates) PeerConfig() (*tls.Config, error) {
	authorities := c.identity.Load().authorities
	if authorities == nil {
		return nil, errors.New("mutual TLS between nodes needs a file of authorities")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       c.clock,
		RootCAs:    authorities,
		ClientCAs:  authorities,
		ClientAuth: tls.RequireAndVerifyClientCert,
		// A resumed session would rely on the certificate of an earlier connection.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.identity.Load().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.identity.Load().certificate, nil
		},
	}, nil
}

func loadIdentity(files Files, now time.Time) (*identity, error) {
	var faults findings.List
	loaded := &identity{}
	certificatePEM := readPEM(&faults, files.Certificate, "certificate")
	keyPEM := readPEM(&faults, files.Key, "private key")
	if certificatePEM != nil && keyPEM != nil {
		loaded.certificate = parsePair(&faults, files, certificatePEM, keyPEM, now)
	}
	if files.Authorities != "" {
		loaded.authorities = loadAuthorities(&faults, files.Authorities, now)
	}
	if faults.Len() == 0 && loaded.authorities != nil {
		checkIssuer(&faults, files, loaded, now)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return loaded, nil
}

func readPEM(faults *findings.List, path, role string) []byte {
	if path == "" {
		faults.Addf(role, "no file is named")
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		faults.Addf(path, "%s cannot be read: %v", role, errors.Cause(err))
		return nil
	}
	if block, _ := pem.Decode(content); block == nil {
		faults.Addf(path, "%s is not in PEM form", role)
		return nil
	}
	return content
}

func parsePair(faults *findings.List, files Files, certificatePEM, keyPEM []byte, now time.Time) tls.Certificate {
	pair, err := tls.X509KeyPair(certificatePEM, keyPEM)
	if err != nil {
		faults.Addf(files.Certificate, "does not go with %s: %v", files.Key, err)
		return pair
	}
	checkValidity(faults, files.Certificate, pair.Leaf, now)
	return pair
}

func checkValidity(faults *findings.List, path string, certificate *x509.Certificate, now time.Time) {
	if now.Before(certificate.NotBefore) {
		faults.Addf(path, "certificate of %q is not valid before %s", certificate.Subject.CommonName, certificate.NotBefore.Format(time.RFC3339))
	}
	if now.After(certificate.NotAfter) {
		faults.Addf(path, "certificate of %q expired at %s", certificate.Subject.CommonName, certificate.NotAfter.Format(time.RFC3339))
	}
}

// checkIssuer reports a certificate that no peer would accept.
func checkIssuer(faults *findings.List, files Files, loaded *identity, now time.Time) {
	intermediates := x509.NewCertPool()
	for _, der := range loaded.certificate.Certificate[1:] {
		if certificate, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(certificate)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := loaded.certificate.Leaf.Verify(x509.VerifyOptions{
			Roots:         loaded.authorities,
			Intermediates: intermediates,
			CurrentTime:   now,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			faults.Addf(files.Certificate, "would be refused by peers with %s: %v", files.Authorities, err)
			return
		}
	}
}

// loadAuthorities reads the authorities. It accepts an expired one if there is a
// valid one too, because authorities are replaced by adding the next one to the file.
func loadAuthorities(faults *findings.List, path string, now time.Time) *x509.CertPool {
	content := readPEM(faults, path, "file of authorities")
	if content == nil {
		return nil
	}
	pool := x509.NewCertPool()
	var expired findings.List
	valid := 0
	for block, rest := pem.Decode(content); block != nil; block, rest = pem.Decode(rest) {
		authority, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			faults.Addf(path, "holds a block that is no certificate: %v", err)
			continue
		}
		before := expired.Len()
		checkValidity(&expired, path, authority, now)
		if expired.Len() == before {
			valid++
		}
		pool.AddCert(authority)
	}
	if valid == 0 {
		faults.Merge(path, expired.Err())
	}
	return pool
}
