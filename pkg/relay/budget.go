package relay

import (
	"sync"
	"time"

	"martenwheel.dev/pkg/clock"
)

// BudgetConfig limits how often requests are retried at another server, over all nodes: in each
// window, Ratio of the requests plus Slack.
type BudgetConfig struct {
	Ratio  float64
	Window time.Duration // zero: no limit
	Slack  float64
}

// budgetSlots is the number of slots of a window.
const budgetSlots = 20

// budget counts the requests and retries of one service on this node. Each node keeps to its share
// of the limit without asking the others. The share holds for all incarnations of a node together,
// although a new one does not know what its predecessor spent.
//
// A retry is covered by the requests of the last window and otherwise taken from a slack account
// that fills over time. The account of an incarnation begins empty, holds only part of the share,
// and gains the rest within a window: what an earlier and this incarnation together take in any
// window is at most the share.
type budget struct {
	slots [budgetSlots]struct {
		number   int64
		requests int
		covered  float64 // retries that requests cover
		slack    float64 // retries taken from the slack account
	}
	slack slackAccount
}

// budgets holds the budgets of all services. It is safe for concurrent use.
type budgets struct {
	mu       sync.Mutex
	began    time.Time // when the slack accounts begin to fill
	services map[string]*budget
}

func (b *budgets) of(service string) *budget {
	if b.services == nil {
		b.services = make(map[string]*budget)
	}
	s := b.services[service]
	if s == nil {
		s = &budget{slack: slackAccount{filledAt: b.began}}
		b.services[service] = s
	}
	return s
}

// arrive counts a request. The slack accounts of the node fill from began on; zero: from now.
func (b *budgets) arrive(cfg BudgetConfig, began, now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.began.IsZero() {
		b.began = now
		if !began.IsZero() {
			b.began = began
		}
	}
	s := b.of(service)
	s.slots[s.slot(cfg, now)].requests++
}

// takeRetry takes a retry from the budget of one of n nodes. It returns false if the budget is
// spent. While n is unknown (zero), only requests cover retries.
func (b *budgets) takeRetry(cfg BudgetConfig, now time.Time, service string, n int) bool {
	if cfg.Window <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(service)
	at := s.slot(cfg, now)
	s.fill(cfg, now, n)
	covered := min(s.covers(cfg, at), 1)
	if covered+s.slack.retries < 1-spendTolerance {
		return false
	}
	s.slots[at].covered += covered
	s.slots[at].slack += 1 - covered
	s.slack.retries = max(s.slack.retries-(1-covered), 0)
	return true
}

// left returns how many retries the budget of one of n nodes holds.
func (b *budgets) left(cfg BudgetConfig, now time.Time, service string, n int) float64 {
	if cfg.Window <= 0 {
		return 0 // without a limit, no number says anything
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(service)
	at := s.slot(cfg, now)
	s.fill(cfg, now, n)
	return s.covers(cfg, at) + s.slack.retries
}

// spendTolerance allows for rounding in sums of fractional retries.
const spendTolerance = 1e-9

// covers returns how many retries the requests of the window that ends with slot at still cover.
func (b *budget) covers(cfg BudgetConfig, at int) float64 {
	requests, covered := 0, 0.0
	for _, slot := range b.slots {
		if b.slots[at].number-slot.number < budgetSlots {
			requests += slot.requests
			covered += slot.covered
		}
	}
	return max(budgetSafetyFactor*cfg.Ratio*float64(requests)-covered, 0)
}

// fill updates the slack account for one of n nodes.
func (b *budget) fill(cfg BudgetConfig, now time.Time, n int) {
	share := 0.0
	if n > 0 {
		share = budgetSafetyFactor * (1 - lentShare) * cfg.Slack / float64(n)
	}
	b.slack.fill(now, cfg.Window, share)
}

// borrowed records a retry that the coordinator lent.
func (b *budgets) borrowed(cfg BudgetConfig, now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(service)
	s.slots[s.slot(cfg, now)].slack++ // returned by returnRetry if the retry reaches no server
}

// returnRetry returns a retry that reached no server.
func (b *budgets) returnRetry(cfg BudgetConfig, now time.Time, service string) {
	if cfg.Window <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(service)
	at := s.slot(cfg, now)
	for back, left := 0, 1.0; back < budgetSlots && left > spendTolerance; back++ {
		slot := &s.slots[(at+budgetSlots-back)%budgetSlots]
		if s.slots[at].number-slot.number >= budgetSlots {
			return
		}
		part := min(slot.slack, left)
		slot.slack -= part
		s.slack.retries += part
		left -= part
		part = min(slot.covered, left)
		slot.covered -= part
		left -= part
	}
}

// budgetSafetyFactor keeps a node below its share, since the others may not know yet of a node that
// joined.
const budgetSafetyFactor = 0.8

// budgetEpoch is the start of slot numbering. With the time of day, a clock step would end windows
// too early or too late.
var budgetEpoch = clock.Now()

// slot returns the index of the current slot, emptied if it belongs to an earlier window.
func (b *budget) slot(cfg BudgetConfig, now time.Time) int {
	width := max(cfg.Window/budgetSlots, time.Millisecond)
	number := int64(now.Sub(budgetEpoch) / width)
	i := int((number%budgetSlots + budgetSlots) % budgetSlots)
	if b.slots[i].number != number {
		b.slots[i].number, b.slots[i].requests, b.slots[i].covered, b.slots[i].slack = number, 0, 0, 0
	}
	return i
}
