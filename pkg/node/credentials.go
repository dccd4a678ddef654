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

// credentialInterval is the time between two looks for changed files of keys
// and certificates.
const credentialInterval = 5 * time.Second

// credentials are the keys and certificates of a node. A nil field is not set:
// then everyone is let in, or the listener speaks plain TCP.
type credentials struct {
	callers      *security.Keys
	operators    *security.Keys
	certificates *security.Certificates
	listeners    *tls.Config
	peers        *tls.Config
}

// openCredentials reads all files and reports all their faults together.
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

// watch takes over changed files until ctx ends. A faulty file is logged and
// changes nothing.
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
			logger.Error("changed keys or certificates not taken over", "error", err)
			return
		}
		logger.Info("changed keys or certificates in force")
	}
	security.Watch(ctx, credentialInterval, report, files...)
}

// operatorAuthorizer checks operators' keys.
type operatorAuthorizer struct {
	keys *security.Keys
}

// Authorize implements operator.Authorizer.
func (a operatorAuthorizer) Authorize(key string) (string, bool) {
	return a.keys.Authenticate([]byte(key))
}
