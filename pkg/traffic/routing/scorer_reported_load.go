package routing

// ReportedLoadScorer prefers servers on which, by the engine's lagging report,
// other nodes have few requests.
type ReportedLoadScorer struct{}

// Name returns "reported-load".
func (ReportedLoadScorer) Name() string { return "reported-load" }

// Score falls from 1 for no load to 0 at the replica's limit.
func (ReportedLoadScorer) Score(_ *Request, candidate *Candidate) float64 {
	return freeShare(candidate.ReportedLoad, candidate)
}
