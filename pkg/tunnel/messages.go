package tunnel

import "martenwheel.dev/pkg/peer"

// Connect asks a node for a tunnel to a server.
type Connect struct {
	Server  string // ID of the server; empty if it is listed no more
	Address string // of the server, IP:port
}

// OpensStream implements peer.StreamRequest.
func (Connect) OpensStream() {}

// Result is what became of a Connect.
type Result uint8

const (
	_           Result = iota
	Open               // the tunnel is open
	Refused            // the server refused the connection, and the node reaches other servers
	NotReached         // the node did not reach the server either
	Unavailable        // the node opens no tunnel now
	Reset              // the connection was reset: the server runs and may be busy, or a link rejects connections
)

// Connected answers a Connect.
type Connected struct {
	Result Result
}

// Stops tells a node that another one, through which it has tunnels, is about to end.
type Stops struct {
	Node string // address of the node that stops, for other nodes
}

func init() { peer.RegisterRecent(Connect{}, Connected{}, Stops{}) }
