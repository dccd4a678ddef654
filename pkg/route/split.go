package route

import "sync"

// Splitter deals the requests of a route to its parts by their weights, by
// smooth weighted round robin: shares are kept over any few requests. Safe for
// concurrent use. The zero value is ready.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*deal
}

// deal is the state of one route.
type deal struct {
	parts   []Part
	credits []float64
}

// Pick returns the service that gets the next request of the route.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.Parts[s.dealOf(r).next()].Service
}

func (s *Splitter) dealOf(r *Route) *deal {
	d := s.routes[r.Name]
	if d != nil && sameParts(d.parts, r.Parts) {
		return d
	}
	if s.routes == nil {
		s.routes = make(map[string]*deal)
	}
	d = &deal{parts: r.Parts, credits: make([]float64, len(r.Parts))}
	s.routes[r.Name] = d
	return d
}

func sameParts(a, b []Part) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// next returns the part that is furthest behind its share.
func (d *deal) next() int {
	best, total := 0, 0.0
	for i, p := range d.parts {
		d.credits[i] += p.Weight
		total += p.Weight
		if d.credits[i] > d.credits[best] {
			best = i
		}
	}
	d.credits[best] -= total
	return best
}
