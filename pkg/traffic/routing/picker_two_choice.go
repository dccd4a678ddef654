package routing

// DefaultMargin is how far below the best score a candidate may lie to take
// part in the choice of two. A wide margin spreads the requests of many nodes
// that share the same stale knowledge; a narrow one follows the scores.
const DefaultMargin = 0.5

// TwoChoicePicker draws two of the candidates near the best score and takes the
// better one ("the power of two choices", Mitzenmacher 2001). Nodes with the
// same stale load therefore don't all pick the same replica.
type TwoChoicePicker struct {
	Margin float64
}

// Pick returns the better of two random candidates near the best.
func (p TwoChoicePicker) Pick(random Random, scored []Scored) int {
	count := p.gatherBest(scored)
	first := random.IntN(count)
	if count == 1 {
		return first
	}
	second := random.IntN(count - 1)
	if second >= first {
		second++
	}
	first, second = better(scored, first, second)
	if random.Float64() < scored[first].Share {
		return first
	}
	return second
}

// gatherBest moves the candidates near the best to the front and counts them.
// Candidates that return slowly after an ejection always leave room for another
// one, which takes the traffic that they don't get yet.
func (p TwoChoicePicker) gatherBest(scored []Scored) int {
	best := scored[0].Score
	whole := 0.0
	for _, candidate := range scored {
		best = max(best, candidate.Score)
	}
	count := 0
	for index := range scored {
		if scored[index].Score >= best-p.Margin {
			whole = max(whole, scored[index].Share)
			scored[count], scored[index] = scored[index], scored[count]
			count++
		}
	}
	if whole < 1 {
		return len(scored)
	}
	return count
}

// better orders two candidates by score. One with a whole share breaks a tie.
func better(scored []Scored, first, second int) (int, int) {
	if scored[second].Score > scored[first].Score {
		return second, first
	}
	if scored[second].Score == scored[first].Score && scored[second].Share > scored[first].Share {
		return second, first
	}
	return first, second
}
