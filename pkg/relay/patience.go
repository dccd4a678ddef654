package relay

import (
	"sync"
	"time"
)

// patiences remember how long the callers of each route wait when they come
// first. Safe for concurrent use.
type patiences struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

// comeBackShare is the part of the longest wait below which a caller is taken
// for one that was refused before and has come back.
const comeBackShare = 0.97

// maxPatiences bounds the routes that are remembered.
const maxPatiences = 4096

// cameBack tells whether a caller that still waits so long was here before.
func (p *patiences) cameBack(route string, wait time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes == nil || len(p.routes) >= maxPatiences {
		p.routes = make(map[string]time.Duration)
	}
	longest := p.routes[route]
	if wait > longest {
		p.routes[route] = wait
		return false
	}
	return float64(wait) < comeBackShare*float64(longest)
}
