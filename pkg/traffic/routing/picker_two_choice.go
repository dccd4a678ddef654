package routing

// DefaultMargin is how far below the best score a candidate may be to take part in the
// choice of two. A wide margin spreads the requests of many nodes that share the same
// stale knowledge; a narrow one follows the scores more closely.
const DefaultMargin = 0.5

// TwoChoicePicker draws two random candidates near the best score and takes the better
// one ("the power of two choices", Mitzenmacher 2001). Nodes with the same stale load
// reports therefore do not all pick the same replica.
type TwoChoicePicker struct {
	Margin float64
}

// Pick returns the index of the better of two random candidates near the best score. If
// that one has a reduced share, it returns the other with the rest of the probability.
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

// gatherBest moves the candidates near the best score to the front and returns their
// number. If all of them have a reduced share after an ejection, it includes all
// candidates, so that others can take the rest of their traffic.
func (p TwoChoicePicker) gatherBest(scored []Scored) int {
	best := scored[0].Score
	maxShare := 0.0
	for _, candidate := range scored {
		best = max(best, candidate.Score)
	}
	count := 0
	for index := range scored {
		if scored[index].Score >= best-p.Margin {
			maxShare = max(maxShare, scored[index].Share)
			scored[count], scored[index] = scored[index], scored[count]
			count++
		}
	}
	if maxShare < 1 {
		return len(scored)
	}
	return count
}

// better orders two candidates by score, and by share if the scores are equal.
func better(scored []Scored, first, second int) (int, int) {
	if scored[second].Score > scored[first].Score {
		return second, first
	}
	if scored[second].Score == scored[first].Score && scored[second].Share > scored[first].Share {
		return second, first
	}
	return first, second
}
