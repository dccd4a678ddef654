package coordinator

import (
	"math/rand/v2"
	"testing"
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// saidPause is the time between two words of servers, at most.
const saidPause = 2 * time.Second

// saidWord is what a server said to a life of a node.
type saidWord struct {
	node   *worldNode
	server string // the ID of its life
	at     time.Duration
}

// sayLeaving has some server tell some node that it leaves.
func (w *world) sayLeaving(random *rand.Rand) (saidWord, bool) {
	w.mu.Lock()
	n := w.nodes[random.IntN(len(w.nodes))]
	w.mu.Unlock()
	if n.isFrozen() {
		return saidWord{}, false
	}
	list := n.node.servers.Snapshot().Service("s")
	if len(list) == 0 {
		return saidWord{}, false
	}
	id := list[random.IntN(len(list))].ID
	heard := n.node.servers.Tell(id, backpressure.Belief{Leaving: true})
	n.member.Heard(heard)
	w.note("%s says to %s that it leaves", id, n.name)
	return saidWord{n, id, time.Since(w.row.started)}, true
}

// checkSaid sees that all nodes know what was said to one that still runs.
func (w *world) checkSaid(words []saidWord) {
	for _, word := range words {
		select {
		case <-word.node.crashed:
			continue // it may have told nobody
		default:
		}
		for _, n := range w.nodes {
			m := n.node.servers.Snapshot().Member(word.server)
			if m != nil && !m.Belief().Leaving {
				w.t.Errorf("%s does not know that %s leaves, which that told %s at %v", n.name, word.server, word.node.name, word.at)
			}
		}
	}
}

// TestWhatAServerSaidIsKnownToAllInSchedules plays the explorer's faults, and losses of all nodes at once, while
// servers tell single nodes that they leave. Once the faults are over all nodes know it.
func TestWhatAServerSaidIsKnownToAllInSchedules(t *testing.T) {
	explore(t, func(w *world, seed uint64) {
		w.addressesStay = seed%2 == 0
		random := rand.New(rand.NewPCG(seed, 7))
		words := make(chan []saidWord)
		go func() {
			var list []saidWord
			for time.Since(w.row.started) < faultTime {
				time.Sleep(time.Duration(random.Int64N(int64(saidPause))))
				if word, said := w.sayLeaving(random); said {
					list = append(list, word)
				}
			}
			words <- list
		}()
		w.playLosses()
		list := <-words
		time.Sleep(calmTime)
		w.checkSaid(list)
		time.Sleep(recoverTime) // virtual; for the wishes under way to end
		w.stopNodes()
	})
}
