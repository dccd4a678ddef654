package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
)

// uniqueID makes the request ID that engines see: the caller's with a part
// that no other request has, so that two callers with the same ID can't reach
// each other's streams.
func (g *Gateway) uniqueID(requestID string) string {
	return requestID + "." + g.newRequestID()
}

// newRequestID returns an ID that no other request has.
func (g *Gateway) newRequestID() string {
	return g.epoch + strconv.FormatUint(g.serial.Add(1), 36)
}

// epochBytes is the length of the random part of request IDs.
const epochBytes = 6

// newEpoch returns a random prefix for the request IDs of this process.
func newEpoch() string {
	var random [epochBytes]byte
	_, _ = rand.Read(random[:]) // never fails
	return hex.EncodeToString(random[:])
}
