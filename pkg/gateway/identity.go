package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
)

// uniqueID returns the request ID that engines see: requestID with a unique
// suffix, so that two callers that send the same ID can't resume or cancel each
// other's streams.
func (g *Gateway) uniqueID(requestID string) string {
	return requestID + "." + g.newRequestID()
}

// newRequestID returns a request ID that is unique across nodes and restarts.
func (g *Gateway) newRequestID() string {
	return g.idPrefix + strconv.FormatUint(g.lastSerial.Add(1), 36)
}

// idPrefixBytes is the length of the random prefix of request IDs before encoding.
const idPrefixBytes = 6

// newIDPrefix returns a random prefix for the request IDs of this process.
func newIDPrefix() string {
	var random [idPrefixBytes]byte
	_, _ = rand.Read(random[:]) // never fails
	return hex.EncodeToString(random[:])
}
