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

// magic opens each connection, followed by the version as two bytes.
const magic = "mwpr"

// maxHelloBytes bounds the encoded hello.
const maxHelloBytes = 4096

var (
	// ErrVersion means that the peer speaks another version of the protocol.
	ErrVersion = errors.New("peer: other protocol version")
	// ErrIdentity means that the peer's certificate is not that of the node
	// that it says it is.
	ErrIdentity = errors.New("peer: certificate of another node")
)

// hello tells who is at an end of a connection.
type hello struct {
	Self api.NodeRef
	// Kinds are the marks of the message types that this end knows, see markOf; earlier builds tell
	// none. Another build may know fewer or more, while nodes are replaced one after the other.
	Kinds []uint32
}

// connection is a connection after the exchange of hellos.
type connection struct {
	net.Conn
	reader *bufio.Reader
	peer   api.NodeRef
	kinds  map[uint32]bool // that the peer knows; nil: not told
}

// startClient does the TLS handshake, if any, and exchanges hellos.
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

// startServer is startClient for the other end. The server's version is told
// to a client of another version, so that both can log it.
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

// secure does the TLS handshake if there is a configuration. The certificates
// of both ends are checked before any byte is decoded.
func secure(
	ctx context.Context,
	raw net.Conn,
	config *tls.Config,
	wrap func(net.Conn, *tls.Config) *tls.Conn,
) (net.Conn, []*x509.Certificate, error) {
	if config == nil {
		return raw, nil, nil
	}
	encrypted := wrap(raw, config)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		return nil, nil, errors.Wrap(err, "peer: TLS handshake")
	}
	return encrypted, encrypted.ConnectionState().PeerCertificates, nil
}

// clientTLS returns the configuration for outgoing connections. Peers are
// known by IP, so the name in the certificate is compared with the hello's
// instead; the chain is verified here.
func clientTLS(config *tls.Config) *tls.Config {
	if config == nil {
		return nil
	}
	client := config.Clone()
	client.MinVersion = tls.VersionTLS13
	client.InsecureSkipVerify = true // VerifyConnection below does it
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

// serverTLS returns the configuration for incoming connections.
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
	return &connection{Conn: started, reader: reader, peer: peer, kinds: received.kinds()}, nil
}

// kinds returns the marks of the message types that were told, nil if none were.
func (h *hello) kinds() map[uint32]bool {
	if len(h.Kinds) == 0 {
		return nil
	}
	kinds := make(map[uint32]bool, len(h.Kinds))
	for _, mark := range h.Kinds {
		kinds[mark] = true
	}
	return kinds
}

// certifies tells whether a certificate is for a node, by a DNS name, a URI or
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
	if err := gob.NewEncoder(&body).Encode(hello{Self: self, Kinds: registeredMarks()}); err != nil {
		panic(errors.Wrap(err, "peer: encode hello")) // plain strings cannot fail
	}
	opening := []byte(magic)
	opening = binary.BigEndian.AppendUint16(opening, Version)
	opening = binary.AppendUvarint(opening, uint64(body.Len()))
	return append(opening, body.Bytes()...)
}

// readHello reads the opening bytes of a connection. Nothing is decoded unless
// magic and version are right.
func readHello(from byteReader) (hello, error) {
	var opening [len(magic) + 2]byte
	if _, err := io.ReadFull(from, opening[:]); err != nil {
		return hello{}, errors.Wrap(err, "peer: hello")
	}
	if string(opening[:len(magic)]) != magic {
		return hello{}, errors.New("peer: not this protocol")
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
