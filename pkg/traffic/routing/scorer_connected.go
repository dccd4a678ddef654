package routing

// ConnectedScorer prefers servers to which an unused connection stands. Where
// servers have room it keeps a node with few of them, so that connections last.
type ConnectedScorer struct{}

// Name returns "connected".
func (ConnectedScorer) Name() string { return "connected" }

// Score is 1 if a connection is there, else 0.
func (ConnectedScorer) Score(_ *Request, candidate *Candidate) float64 {
	if candidate.Connected {
		return 1
	}
	return 0
}
