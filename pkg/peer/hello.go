package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// magic is the first bytes on each connection, followed by the version as two
// bytes.
const magic = "mwpr"

// maxHelloBytes is the largest size of an encoded hello.
const maxHelloBytes = 4096

var (
	// ErrVersion means that the peer uses another version of the protocol.
	ErrVersion = errors.New("peer: other protocol version")
	// ErrIdentity means that the peer's certificate does not belong to the node
	// that its hello names.
	ErrIdentity = errors.New("peer: certificate of another node")
)

// hello identifies one end of a connection.
type hello struct {
	Self api.NodeRef
	// Kinds are the hashes (see typeHash) of the message types that this end knows. Earlier builds leave
	// it empty. During a rolling update, another build may know fewer types or more.
	Kinds []uint32
}

// connection is a network connection whose hellos have been exchanged.
type connection struct {
	net.Conn
	reader     *bufio.Reader
	peer       api.NodeRef
	knownTypes map[uint32]bool // hashes of the types that the peer knows; nil if its hello had none
}

// startClient performs the TLS handshake, if TLS is configured, and exchanges
// hellos.
func startClient(ctx context.Context, raw net.Conn, config Config) (*connection, error) {
	if err := raw.SetDeadline(time.Now().Add(config.Timeouts.Dial)); err != nil {
		return nil, errors.WithStack(err)
	}
	started, certificates, err := secure(ctx, raw, config.TLS, tls.Client)
	if err != nil {
		return nil, err
	}
	if _, err := started.Write(encodeHello(config.Self)); err != nil {
		return nil, errors.WithStack(err)
	}
	return finishStart(started, certificates)
}

// startServer is the counterpart of startClient. It also sends its hello to a
// client with another protocol version, so that both sides can log the mismatch.
func startServer(ctx context.Context, raw net.Conn, config Config) (*connection, error) {
	if err := raw.SetDeadline(time.Now().Add(config.Timeouts.Dial)); err != nil {
		return nil, errors.WithStack(err)
	}
	started, certificates, err := secure(ctx, raw, config.TLS, tls.Server)
	if err != nil {
		return nil, err
	}
	accepted, err := finishStart(started, certificates)
	if err == nil || errors.Is(err, ErrVersion) {
		if _, writeErr := started.Write(encodeHello(config.Self)); err == nil && writeErr != nil {
			return nil, errors.WithStack(writeErr)
		}
	}
	return accepted, err
}

// secure performs the TLS handshake if TLS is configured. Both ends check the
// other's certificate before any data is decoded.
func secure(
	ctx context.Context,
	raw net.Conn,
	config *tls.Config,
	wrap func(net.Conn, *tls.Config) *tls.Conn,
) (net.Conn, []*x509.Certificate, error) {
	if config == nil {
		return raw, nil, nil
	}
	encrypted := wrap(transport{raw}, config)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		return nil, nil, errors.Wrap(err, "peer: TLS handshake")
	}
	return encrypted, encrypted.ConnectionState().PeerCertificates, nil
}

// errNoAlert means that an encrypted connection ended without the alert that announces its end.
var errNoAlert = errors.New("peer: encrypted connection ended without close_notify")

// transport is a connection below TLS. Package tls accepts an end without close_notify between two records, so that a part of
// an answer would look whole.
type transport struct{ net.Conn }

// NetConn returns the connection below.
func (t transport) NetConn() net.Conn { return t.Conn }

// Read implements net.Conn. It returns errNoAlert in place of io.EOF.
func (t transport) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if err == io.EOF {
		err = errNoAlert
	}
	return n, err
}

// clientTLS returns the TLS configuration for outgoing connections. Peers are
// addressed by IP, so the name in the certificate is compared with the hello
// instead. The certificate chain is verified here.
func clientTLS(config *tls.Config) *tls.Config {
	if config == nil {
		return nil
	}
	client := config.Clone()
	client.MinVersion = tls.VersionTLS13
	client.InsecureSkipVerify = true // VerifyConnection below verifies the chain
	client.VerifyConnection = func(state tls.ConnectionState) error {
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         config.RootCAs,
			Intermediates: intermediates,
		})
		return err
	}
	return client
}

// serverTLS returns the TLS configuration for incoming connections.
func serverTLS(config *tls.Config) *tls.Config {
	if config == nil {
		return nil
	}
	server := config.Clone()
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAndVerifyClientCert
	return server
}

// finishStart reads the peer's hello and compares it with its certificate.
func finishStart(started net.Conn, certificates []*x509.Certificate) (*connection, error) {
	reader := bufio.NewReader(started)
	received, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	peer := received.Self
	if len(certificates) > 0 && !certifies(certificates[0], peer.ID) {
		return nil, errors.Wrapf(ErrIdentity, "hello of %q", peer.ID)
	}
	if err := started.SetDeadline(time.Time{}); err != nil {
		return nil, errors.WithStack(err)
	}
	return &connection{Conn: started, reader: reader, peer: peer, knownTypes: received.knownTypes()}, nil
}

// knownTypes returns the set of type hashes in the hello, or nil if there are none.
func (h *hello) knownTypes() map[uint32]bool {
	if len(h.Kinds) == 0 {
		return nil
	}
	known := make(map[uint32]bool, len(h.Kinds))
	for _, mark := range h.Kinds {
		known[mark] = true
	}
	return known
}

// certifies reports whether a certificate names a node as a DNS name, a URI or
// the common name.
func certifies(certificate *x509.Certificate, id api.NodeID) bool {
	name := string(id)
	if name == "" {
		return false
	}
	if certificate.Subject.CommonName == name || slices.Contains(certificate.DNSNames, name) {
		return true
	}
	for _, uri := range certificate.URIs {
		if uri.String() == name {
			return true
		}
	}
	return false
}

// encodeHello returns the opening bytes of a connection.
func encodeHello(self api.NodeRef) []byte {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(hello{Self: self, Kinds: registeredTypeHashes()}); err != nil {
		panic(errors.Wrap(err, "peer: encode hello")) // cannot happen: all fields can be encoded
	}
	opening := []byte(magic)
	opening = binary.BigEndian.AppendUint16(opening, Version)
	opening = binary.AppendUvarint(opening, uint64(body.Len()))
	return append(opening, body.Bytes()...)
}

// readHello reads the opening bytes of a connection. It decodes the hello only if
// magic and version match.
func readHello(from byteReader) (hello, error) {
	var opening [len(magic) + 2]byte
	if _, err := io.ReadFull(from, opening[:]); err != nil {
		return hello{}, errors.Wrap(err, "peer: hello")
	}
	if string(opening[:len(magic)]) != magic {
		return hello{}, errors.New("peer: connection does not start with the magic of this protocol")
	}
	if version := binary.BigEndian.Uint16(opening[len(magic):]); version != Version {
		return hello{}, errors.Wrapf(ErrVersion, "peer has %d, this node %d", version, Version)
	}
	body, err := newFrameReader(from, maxHelloBytes).next()
	if err != nil {
		return hello{}, errors.Wrap(err, "peer: hello")
	}
	var received hello
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&received); err != nil {
		return hello{}, errors.Wrap(err, "peer: hello")
	}
	return received, nil
}
