package routing

// ReportedLoadScorer prefers servers on which other nodes have few requests, according to
// the engine's delayed report.
type ReportedLoadScorer struct{}

// Name returns "reported-load".
func (ReportedLoadScorer) Name() string { return "reported-load" }

// Score falls from 1 for no load to 0 at the replica's limit.
func (ReportedLoadScorer) Score(_ *Request, candidate *Candidate) float64 {
	return freeShare(candidate.ReportedLoad, candidate)
}
