package node

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/security"
	"martenwheel.dev/pkg/settings"
)

// credentialInterval is the interval at which files of keys and certificates are
// checked for changes.
const credentialInterval = 5 * time.Second

// credentials are the keys and certificates of a node. A nil field is not
// configured: without keys everyone is admitted, and without certificates the
// listener uses plain TCP.
type credentials struct {
	callers      *security.Keys
	operators    *security.Keys
	certificates *security.Certificates
	listeners    *tls.Config
	peers        *tls.Config
}

// openCredentials reads all files and returns the faults of all of them together.
func openCredentials(config settings.Settings) (*credentials, error) {
	var found findings.List
	c := &credentials{}
	c.callers = openKeys(&found, config.Keys.CallersFile)
	c.operators = openKeys(&found, config.Keys.OperatorsFile)
	c.openCertificates(&found, config.TLS)
	return c, found.Err()
}

func openKeys(found *findings.List, path string) *security.Keys {
	if path == "" {
		return nil
	}
	keys, err := security.OpenKeys(path)
	found.Merge(path, err)
	return keys
}

func (c *credentials) openCertificates(found *findings.List, config settings.TLS) {
	if !config.Enabled() {
		return
	}
	certificates, err := security.OpenCertificates(config.Files(), time.Now)
	if err != nil {
		found.Merge("tls", err)
		return
	}
	c.certificates = certificates
	c.listeners = certificates.ServerConfig()
	c.peers, err = certificates.PeerConfig()
	found.Merge("tls.ca_file", err)
}

// watch reloads changed files until ctx ends. An invalid file is logged, and what was
// read before stays in force.
func (c *credentials) watch(ctx context.Context, logger hclog.Logger) {
	var files []security.Reloader
	if c.callers != nil {
		files = append(files, c.callers)
	}
	if c.operators != nil {
		files = append(files, c.operators)
	}
	if c.certificates != nil {
		files = append(files, c.certificates)
	}
	report := func(err error) {
		if err != nil {
			logger.Error("cannot reload changed keys or certificates", "error", err)
			return
		}
		logger.Info("reloaded changed keys or certificates")
	}
	security.Watch(ctx, credentialInterval, report, files...)
}

// operatorAuthorizer is an operator.Authorizer that looks up keys in a key file.
type operatorAuthorizer struct {
	keys *security.Keys
}

// Authorize implements operator.Authorizer.
func (a operatorAuthorizer) Authorize(key string) (string, bool) {
	return a.keys.Authenticate([]byte(key))
}
