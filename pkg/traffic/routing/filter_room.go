package routing

// RoomFilter drops the replicas on which this node has as many requests or
// tokens running as the settings allow, for the model or for its base.
type RoomFilter struct{}

// Name returns "room".
func (RoomFilter) Name() string { return "room" }

// Keep tells whether the request fits.
func (RoomFilter) Keep(request *Request, candidate *Candidate) bool {
	return candidate.Usage.HasRoom(request.Tokens) && candidate.BaseUsage.HasRoom(request.Tokens)
}
