package policy

// History is what is remembered of a model's arrivals.
type History struct{}
