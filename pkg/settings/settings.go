// Package settings reads the settings of one martenwheel process: its name,
// place and listeners, the other processes that it meets first, the platform's
// services, keys and limits. They come from a YAML file and from flags, which
// win. What models do is not set here but in the tree (package tree).
package settings

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/security"
)

// Settings of one process. Fields describes each with unit, default and range.
type Settings struct {
	Node      Node
	Listen    Listen
	Seeds     []string // IP:port of other nodes' listeners for peers
	Platform  Platform
	TLS       TLS
	Keys      Keys
	LogLevel  string
	DrainTime time.Duration // bound of a planned stop
	Limits    Limits
}

// Node names the process and its place.
type Node struct {
	ID     api.NodeID
	Zone   string
	Region string
}

// Listen holds the process's listeners, each IP:port.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
	// AdvertisePeers is where other nodes reach Peers.
	AdvertisePeers string
}

// Platform holds the endpoints of the platform's services.
type Platform struct {
	Table    Table
	Objects  Objects
	Machines Machines
}

// Table is the transactional table service, by the DynamoDB protocol.
type Table struct {
	Endpoint      string // URL
	Name          string
	Region        string
	AccessKey     string
	SecretKeyFile string
	SecretKey     Secret // read from SecretKeyFile
}

// Objects is the object store, by the S3 protocol.
type Objects struct {
	Endpoint      string // URL
	Bucket        string
	AccessKey     string
	SecretKeyFile string
	SecretKey     Secret // read from SecretKeyFile
}

// Machines is the platform's list of machines.
type Machines struct {
	Endpoint string // URL
}

// Secret is a text that is never printed.
type Secret string

// String hides the secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "(hidden)"
}

// GoString hides the secret.
func (s Secret) GoString() string {
	return s.String()
}

// MarshalText hides the secret.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// TLS holds PEM files. With them, every listener speaks TLS, and nodes check
// each other's certificates.
type TLS struct {
	CertificateFile string
	KeyFile         string
	CAFile          string
}

// Enabled tells whether TLS is set.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// Files names the files for package security.
func (t TLS) Files() security.Files {
	return security.Files{Certificate: t.CertificateFile, Key: t.KeyFile, Authorities: t.CAFile}
}

// Keys holds the files of API keys. Without a file, any caller or operator that
// reaches the listener is let in.
type Keys struct {
	CallersFile   string
	OperatorsFile string
}

// Limits bound what a caller or operator may send.
type Limits struct {
	BodyBytes    int
	HeaderBytes  int
	Connections  int // per listener
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
}
