package peer

// Nodes of two builds run beside each other while machines are replaced one after the other. A build
// that did not tell its types closes the connection at the first message of a type that it does not
// know, and with it all calls under way on it: beats to the holder among them. So a type is sent only to
// those who tell that they know it, and to those who tell nothing unless one closed the connection at it.

// lacking is which types a life of a peer does not know, as was learned. The zero value knows of none.
type lacking struct {
	incarnation uint64
	types       map[string]bool
}

// add notes a type that a life of the peer does not know.
func (l *lacking) add(incarnation uint64, name string) {
	if l.types == nil || l.incarnation != incarnation {
		l.incarnation, l.types = incarnation, make(map[string]bool)
	}
	l.types[name] = true
}

// has tells whether a life of the peer does not know a type.
func (l *lacking) has(incarnation uint64, name string) bool {
	return l.incarnation == incarnation && l.types[name]
}

// unproved is the last recent type that was sent for the first time on a connection.
type unproved struct {
	sent     map[string]bool
	name     string
	received int64 // frames before
}

// knows tells whether the peer knows a type, as far as was told or learned.
func (e *exchange) knows(name string) bool {
	if e.connection.kinds != nil {
		return e.connection.kinds[markOf(name)]
	}
	e.link.mutex.Lock()
	defer e.link.mutex.Unlock()
	return !e.link.lacks.has(e.connection.peer.Incarnation, name)
}

// note remembers that a type is sent to a peer that did not tell its types.
func (e *exchange) note(name string) {
	if e.connection.kinds != nil || e.unproved.sent[name] || !isRecent(name) {
		return
	}
	if e.unproved.sent == nil {
		e.unproved.sent = make(map[string]bool)
	}
	e.unproved.sent[name] = true
	e.unproved.name, e.unproved.received = name, e.received.Load()
}

// learn takes the last recent type as one that the peer does not know, if the connection ended and
// nothing came since it was sent. A connection that ended by something else has the type not sent to
// this life of the peer, which is replaced soon.
func (e *exchange) learn() {
	if e.unproved.name == "" || e.received.Load() != e.unproved.received {
		return
	}
	e.link.mutex.Lock()
	defer e.link.mutex.Unlock()
	e.link.lacks.add(e.connection.peer.Incarnation, e.unproved.name)
	e.link.client.config.Logger.Warn("peer does not know a type of message", "peer", e.link.address, "type", e.unproved.name)
}
