package routing

// ConnectedScorer prefers servers to which an idle connection is open. While servers have
// free capacity, it keeps a node on few of them, so that connections are reused.
type ConnectedScorer struct{}

// Name returns "connected".
func (ConnectedScorer) Name() string { return "connected" }

// Score is 1 if there is a connection, else 0.
func (ConnectedScorer) Score(_ *Request, candidate *Candidate) float64 {
	if candidate.Connected {
		return 1
	}
	return 0
}
