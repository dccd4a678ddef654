package peer

// Nodes of two builds run at the same time during a rolling update. A build that does not send its known
// types in the hello closes the connection at the first message of a type that it does not know, and so
// aborts all pending calls on it, among them heartbeats to the lease holder. A type is therefore sent
// only to peers whose hello lists it. A peer whose hello lists no types is sent every type until it
// closes a connection right after one.

// unknownTypes records the types that an incarnation of a peer was found not to know. Its zero value is empty.
type unknownTypes struct {
	incarnation uint64
	types       map[string]bool
}

// add records that an incarnation of the peer does not know a type.
func (l *unknownTypes) add(incarnation uint64, name string) {
	if l.types == nil || l.incarnation != incarnation {
		l.incarnation, l.types = incarnation, make(map[string]bool)
	}
	l.types[name] = true
}

// has reports whether an incarnation of the peer is recorded not to know a type.
func (l *unknownTypes) has(incarnation uint64, name string) bool {
	return l.incarnation == incarnation && l.types[name]
}

// recentTypes tracks the recent types sent on a connection, and the last one that the peer may not know.
type recentTypes struct {
	sent     map[string]bool // names of all recent types sent
	name     string          // last recent type that was sent for the first time
	received int64           // frames received before it was sent
}

// peerKnows reports whether the peer knows a type, according to its hello or, if that lists no types, to
// what was learned from closed connections.
func (e *exchange) peerKnows(name string) bool {
	if e.connection.knownTypes != nil {
		return e.connection.knownTypes[typeHash(name)]
	}
	e.link.mutex.Lock()
	defer e.link.mutex.Unlock()
	return !e.link.unknownTypes.has(e.connection.peer.Incarnation, name)
}

// noteSent records that a recent type is sent to a peer whose hello lists no types.
func (e *exchange) noteSent(name string) {
	if e.connection.knownTypes != nil || e.recentTypes.sent[name] || !isRecent(name) {
		return
	}
	if e.recentTypes.sent == nil {
		e.recentTypes.sent = make(map[string]bool)
	}
	e.recentTypes.sent[name] = true
	e.recentTypes.name, e.recentTypes.received = name, e.received.Load()
}

// learnUnknownType is called when the connection has ended. If nothing was received since the last
// recent type was first sent, it records that the peer does not know the type. If the connection ended
// for another reason, the type is needlessly withheld from this incarnation of the peer, which is
// replaced soon.
func (e *exchange) learnUnknownType() {
	if e.recentTypes.name == "" || e.received.Load() != e.recentTypes.received {
		return
	}
	e.link.mutex.Lock()
	defer e.link.mutex.Unlock()
	e.link.unknownTypes.add(e.connection.peer.Incarnation, e.recentTypes.name)
	e.link.client.config.Logger.Warn("peer does not know message type", "peer", e.link.address, "type", e.recentTypes.name)
}
