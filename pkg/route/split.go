package route

import "sync"

// Splitter distributes the requests of a route over its parts by smooth weighted
// round robin, which keeps the shares even over few requests. The zero value is
// ready to use. Splitter is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*roundRobin
}

// roundRobin is the state of the weighted round robin for one route.
type roundRobin struct {
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
	return r.Parts[s.stateOf(r).next()].Service
}

func (s *Splitter) stateOf(r *Route) *roundRobin {
	d := s.routes[r.Name]
	if d != nil && sameParts(d.parts, r.Parts) {
		return d
	}
	if s.routes == nil {
		s.routes = make(map[string]*roundRobin)
	}
	d = &roundRobin{parts: r.Parts, credits: make([]float64, len(r.Parts))}
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

// next returns the index of the part that is furthest behind its share.
func (d *roundRobin) next() int {
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
