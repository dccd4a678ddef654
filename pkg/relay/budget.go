package relay

import (
	"sync"
	"time"
)

// BudgetConfig bounds how often requests are sent to a second server, over all
// nodes: in each window, Ratio of the requests and Slack more.
type BudgetConfig struct {
	Ratio  float64
	Window time.Duration // zero: no bound
	Slack  float64
}

// budgetSlots is the number of parts of a window.
const budgetSlots = 20

// budget counts the requests and repeats of one service on this node. Each node
// keeps to its share of the bound without asking the others.
type budget struct {
	slots [budgetSlots]struct {
		number   int64
		requests int
		repeats  int
	}
}

// budgets hold those of all services. Safe for concurrent use.
type budgets struct {
	mu       sync.Mutex
	services map[string]*budget
}

func (b *budgets) of(service string) *budget {
	if b.services == nil {
		b.services = make(map[string]*budget)
	}
	s := b.services[service]
	if s == nil {
		s = &budget{}
		b.services[service] = s
	}
	return s
}

// arrive counts a request.
func (b *budgets) arrive(cfg BudgetConfig, now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(service)
	s.slots[s.slot(cfg, now)].requests++
}

// repeat takes a repeat out of the budget of a node among n, false if it is
// spent.
func (b *budgets) repeat(cfg BudgetConfig, now time.Time, service string, n int) bool {
	if cfg.Window <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(service)
	at := s.slot(cfg, now)
	requests, repeats := 0, 0
	for _, slot := range s.slots {
		if s.slots[at].number-slot.number < budgetSlots {
			requests += slot.requests
			repeats += slot.repeats
		}
	}
	share := budgetCaution * (cfg.Ratio*float64(requests) + cfg.Slack/float64(max(n, 1)))
	if float64(repeats+1) > share {
		return false
	}
	s.slots[at].repeats++
	return true
}

// giveBack returns a repeat that reached no server.
func (b *budgets) giveBack(cfg BudgetConfig, now time.Time, service string) {
	if cfg.Window <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(service)
	at := s.slot(cfg, now)
	for back := range budgetSlots {
		slot := &s.slots[(at+budgetSlots-back)%budgetSlots]
		if slot.repeats > 0 && s.slots[at].number-slot.number < budgetSlots {
			slot.repeats--
			return
		}
	}
}

// budgetCaution keeps a node below its share: the others may not know yet of a
// node that came.
const budgetCaution = 0.8

// slot returns the slot of now, emptied if it is of an earlier window.
func (b *budget) slot(cfg BudgetConfig, now time.Time) int {
	width := max(cfg.Window/budgetSlots, time.Millisecond)
	number := now.UnixNano() / int64(width)
	i := int(number % budgetSlots)
	if b.slots[i].number != number {
		b.slots[i].number, b.slots[i].requests, b.slots[i].repeats = number, 0, 0
	}
	return i
}
