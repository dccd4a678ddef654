package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// TLSConfigs are the configurations of one process's listeners and calls.
type TLSConfigs struct {
	Public     *tls.Config // listeners for callers and operators
	PeerServer *tls.Config // listener for peers, which need a certificate
	PeerClient *tls.Config // calls to peers
}

// Config reads the files. Without TLS all configurations are nil.
func (t TLS) Config() (TLSConfigs, error) {
	if !t.Enabled() {
		return TLSConfigs{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return TLSConfigs{}, errors.WithMessage(err, "certificate and key")
	}
	authorities, err := os.ReadFile(t.CAFile)
	if err != nil {
		return TLSConfigs{}, errors.Wrap(err, "authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return TLSConfigs{}, errors.Errorf("%s has no PEM certificates", t.CAFile)
	}
	public := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	peerServer := public.Clone()
	peerServer.ClientCAs = pool
	peerServer.ClientAuth = tls.RequireAndVerifyClientCert
	peerClient := public.Clone()
	peerClient.RootCAs = pool
	return TLSConfigs{Public: public, PeerServer: peerServer, PeerClient: peerClient}, nil
}
