package routing

// RoomFilter drops the replicas on which the request would exceed the limits that the
// settings give this node for running requests and tokens, of the model or of its base.
type RoomFilter struct{}

// Name returns "room".
func (RoomFilter) Name() string { return "room" }

// Keep reports whether the request is within the limits.
func (RoomFilter) Keep(request *Request, candidate *Candidate) bool {
	return candidate.Usage.HasRoom(request.Tokens) && candidate.BaseUsage.HasRoom(request.Tokens)
}
