// Package settings reads and validates the settings of one martenwheel process: its identity,
// location and listeners, the nodes that it contacts first, the platform's services, keys and
// limits. They come from a YAML file and from flags, which take precedence. Settings of models are
// not here but in the tree (package tree).
package settings

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/security"
)

// Settings are the settings of one process. Fields describes each with its unit, default and range.
type Settings struct {
	Node      Node
	Listen    Listen
	Seeds     []string // IP:port of the peer listeners of some other nodes
	Platform  Platform
	TLS       TLS
	Keys      Keys
	LogLevel  string
	DrainTime time.Duration // time limit of a graceful shutdown
	Limits    Limits
}

// Node identifies the process and its location.
type Node struct {
	ID     api.NodeID
	Zone   string
	Region string
}

// Listen holds the addresses of the process's listeners, each as IP:port.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
	// AdvertisePeers is the address at which other nodes reach Peers.
	AdvertisePeers string
}

// Platform holds the endpoints of the platform's services.
type Platform struct {
	Table    Table
	Objects  Objects
	Machines Machines
}

// Table configures the transactional table service, which speaks the DynamoDB protocol.
type Table struct {
	Endpoint      string // URL
	Name          string
	Region        string
	AccessKey     string
	SecretKeyFile string
	SecretKey     Secret // read from SecretKeyFile
}

// Objects configures the object store, which speaks the S3 protocol.
type Objects struct {
	Endpoint      string // URL
	Bucket        string
	AccessKey     string
	SecretKeyFile string
	SecretKey     Secret // read from SecretKeyFile
}

// Machines configures the platform's list of machines.
type Machines struct {
	Endpoint string // URL
}

// Secret is a string that is never printed.
type Secret string

// String returns a placeholder instead of the secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "(hidden)"
}

// GoString returns a placeholder instead of the secret.
func (s Secret) GoString() string {
	return s.String()
}

// MarshalText returns a placeholder instead of the secret.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// TLS holds the paths of PEM files. If they are set, every listener uses TLS, and nodes verify each
// other's certificates.
type TLS struct {
	CertificateFile string
	KeyFile         string
	CAFile          string
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// Files returns the files in the form that package security takes.
func (t TLS) Files() security.Files {
	return security.Files{Certificate: t.CertificateFile, Key: t.KeyFile, Authorities: t.CAFile}
}

// Keys holds the paths of the files with API keys. Without a file, every caller or operator who
// reaches the listener is admitted.
type Keys struct {
	CallersFile   string
	OperatorsFile string
}

// Limits limit the requests and connections of callers and operators.
type Limits struct {
	BodyBytes    int
	HeaderBytes  int
	Connections  int // per listener
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
}
