package peer

import (
	"maps"
	"sync"
)

// maxCountedPeers is the maximum number of peers that are counted individually. Further peers
// are counted together under OtherPeers.
const maxCountedPeers = 2000

// OtherPeers is the address under which peers beyond maxCountedPeers are counted.
const OtherPeers = "other"

// Traffic counts messages and their bytes. Bytes are those of whole frames, without
// the overhead of TLS and TCP.
type Traffic struct {
	MessagesSent     uint64
	MessagesReceived uint64
	BytesSent        uint64
	BytesReceived    uint64
}

// Counters count the traffic of a node. They are safe for concurrent use.
type Counters struct {
	mutex  sync.Mutex
	total  Traffic
	byType map[string]Traffic
	byPeer map[string]Traffic
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	return &Counters{byType: make(map[string]Traffic), byPeer: make(map[string]Traffic)}
}

// Total returns the traffic of all types and peers together.
func (c *Counters) Total() Traffic {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.total
}

// ByType returns the traffic by the name of the message type. Frames without a
// message are counted under "control".
func (c *Counters) ByType() map[string]Traffic {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.byType)
}

// ByPeer returns the traffic by address of the peer.
func (c *Counters) ByPeer() map[string]Traffic {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.byPeer)
}

func (c *Counters) sent(peerAddress, typeName string, bytes int) {
	c.add(peerAddress, typeName, Traffic{MessagesSent: 1, BytesSent: uint64(bytes)})
}

func (c *Counters) received(peerAddress, typeName string, bytes int) {
	c.add(peerAddress, typeName, Traffic{MessagesReceived: 1, BytesReceived: uint64(bytes)})
}

func (c *Counters) add(peerAddress, typeName string, more Traffic) {
	if typeName == "" {
		typeName = "control"
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, counted := c.byPeer[peerAddress]; !counted && len(c.byPeer) >= maxCountedPeers {
		peerAddress = OtherPeers
	}
	c.total = c.total.plus(more)
	c.byType[typeName] = c.byType[typeName].plus(more)
	c.byPeer[peerAddress] = c.byPeer[peerAddress].plus(more)
}

func (t Traffic) plus(more Traffic) Traffic {
	t.MessagesSent += more.MessagesSent
	t.MessagesReceived += more.MessagesReceived
	t.BytesSent += more.BytesSent
	t.BytesReceived += more.BytesReceived
	return t
}
