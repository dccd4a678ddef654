package coordinator

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// What the explorer plays, for runs by hand.
var (
	exploreSeed      = flag.Uint64("explore.seed", 1, "seed of the first schedule")
	exploreSchedules = flag.Int("explore.schedules", 300, "number of schedules")
	exploreCopies    = flag.Bool("explore.copies", false, "have the store come back from copies beside each schedule")
	exploreLogs      = flag.Bool("explore.logs", false, "tell the holders' logs in the story of a failed schedule")
)

// exploreLoadRates are the ceilings of loads a second, in turn for one schedule
// after the other: less than the servers could do, and no bound to them.
var exploreLoadRates = []float64{0.4, loadRate}

// Times of a schedule.
const (
	faultTime   = 25 * time.Second
	calmTime    = 8 * time.Second  // after the faults, before the site must serve
	recoverTime = 20 * time.Second // in which it then serves
)

// TestSchedules plays random schedules of faults against nodes with the real
// lease, holder and member, and judges every order that reaches a server.
func TestSchedules(t *testing.T) {
	explore(t, func(w *world, _ uint64) {
		w.play()
		w.judge()
	})
}

// explore plays schedules until some broke a promise.
func explore(t *testing.T, play func(w *world, seed uint64)) {
	const mostFound = 5
	var found atomic.Int32
	workers := pool.New().WithMaxGoroutines(max(runtime.GOMAXPROCS(0)/2, 1))
	for i := range *exploreSchedules {
		seed := *exploreSeed + uint64(i)
		workers.Go(func() {
			if found.Load() < mostFound && !playSchedule(t, seed, play) {
				found.Add(1)
			}
		})
	}
	workers.Wait()
}

// playSchedule plays one schedule. It returns false if a promise was broken.
func playSchedule(t *testing.T, seed uint64, play func(w *world, seed uint64)) bool {
	return t.Run(fmt.Sprint(seed), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, seed)
			defer func() {
				if t.Failed() {
					t.Log("the story of the schedule:\n" + strings.Join(w.steps, "\n"))
				}
			}()
			if *exploreCopies {
				go newCopies(w, seed).play()
			}
			play(w, seed)
		})
	})
}

// play lets the faults happen, ends them and sees that the site serves.
func (w *world) play() {
	time.Sleep(time.Second)
	for time.Since(w.row.started) < faultTime {
		w.step()
		time.Sleep(time.Duration(w.random.Int64N(int64(1500 * time.Millisecond))))
	}
	w.heal()
	time.Sleep(calmTime)
	w.recover()
	for _, n := range w.nodes {
		n.stop()
	}
	time.Sleep(5 * time.Second) // virtual; for what is under way to end
}

// step does one thing of the schedule: a wish, mostly, or a fault.
func (w *world) step() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(16) {
	case 0:
		w.crash(n)
	case 1, 2:
		n.freeze(time.Duration(w.random.Int64N(int64(6 * time.Second))))
	case 3:
		n.cut(w.random.IntN(3), time.Duration(w.random.Int64N(int64(6*time.Second))))
	case 4:
		w.restartServer()
	case 5:
		w.storeDown(time.Duration(w.random.Int64N(int64(5 * time.Second))))
	case 6, 7:
		w.changeTrouble()
	default:
		w.wish(n, fmt.Sprintf("m%d", w.random.IntN(8)), w.random.IntN(3))
	}
}

// wish has a node wish a model, with an adapter more often than not.
func (w *world) wish(n *worldNode, model string, adapter int) {
	need := model
	if adapter > 0 {
		need = fmt.Sprintf("%s/a%d", model, w.random.IntN(5))
	}
	go n.wishFor(need)
}

// crash ends a life; the node comes back as another one.
func (w *world) crash(n *worldNode) {
	w.note("%s crashes", n.name)
	for i := range w.nodes {
		if w.nodes[i] != n {
			continue
		}
		close(n.crashed)
		n.stop()
		w.startNode(i)
		return
	}
}

// freeze stops all that leaves or reaches a node.
func (n *worldNode) freeze(d time.Duration) {
	n.world.note("%s freezes for %v", n.name, d)
	n.mu.Lock()
	n.frozen = time.Now().Add(d)
	n.storeBack = n.frozen
	n.mu.Unlock()
}

// cut takes a node from the store, from the servers or from the other nodes.
func (n *worldNode) cut(from int, d time.Duration) {
	n.world.note("%s is cut from %s for %v", n.name, []string{"the store", "the servers", "the nodes"}[from], d)
	n.mu.Lock()
	switch from {
	case 0:
		n.noStore = true
	case 1:
		for id := range n.world.serverIDs() {
			n.noServers[id] = true
		}
	case 2:
		for i := range n.world.nodes {
			n.cutFrom[fmt.Sprintf("node-%d", i)] = true
		}
	}
	n.mu.Unlock()
	time.AfterFunc(d, n.heal)
}

func (n *worldNode) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.noStore {
		n.storeBack = latest(n.storeBack, time.Now()) // the node may be frozen for longer
	}
	n.noStore = false
	clear(n.noServers)
	clear(n.cutFrom)
}

// restartServer replaces a server by another life of it, which holds nothing, and has its name
// more often than not.
func (w *world) restartServer() {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	for name := range w.engines.servers { // which one is the map's choice
		w.startAgain(name)
		return
	}
}

// startAgain ends a server and starts its next life. The caller holds the engines' mu.
func (w *world) startAgain(name string) {
	if w.namesStay || w.births.IntN(3) > 0 {
		w.engines.reborn(name)
		w.note("%s starts again under its name", name)
		return
	}
	delete(w.engines.servers, name)
	w.lives++
	next := fmt.Sprintf("server-%d", 1000+w.lives)
	w.engines.servers[next] = &engineState{models: make(map[string]map[string]bool)}
	w.note("%s comes back as %s", name, next)
}

func (w *world) serverIDs() map[string]bool {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	ids := make(map[string]bool)
	for id := range w.engines.servers {
		ids[id] = true
	}
	return ids
}

func (w *world) storeDown(d time.Duration) {
	w.note("the store is down for %v", d)
	w.mu.Lock()
	w.trouble.storeDown = true
	w.mu.Unlock()
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.trouble.storeDown = false
		w.calm = time.Now()
	})
}

// changeTrouble draws the shares of calls that go wrong from now on.
func (w *world) changeTrouble() {
	draw := func(most float64) float64 {
		if w.random.IntN(2) == 0 {
			return 0
		}
		return most * w.random.Float64()
	}
	w.mu.Lock()
	if w.trouble.storeTroubled() {
		w.calm = time.Now()
	}
	w.trouble = trouble{
		loseOrder: draw(0.3), loseAnswer: draw(0.4), lateOrder: draw(0.4),
		loseWrite: draw(0.2), loseWritten: draw(0.3), lateWrite: draw(0.3),
		loseMessage: draw(0.3), slow: draw(0.3), storeDown: w.trouble.storeDown,
	}
	text := fmt.Sprintf("%+v", w.trouble)
	w.mu.Unlock()
	w.note("calls: %s", text)
}

// heal ends all faults.
func (w *world) heal() {
	w.note("all faults end")
	w.mu.Lock()
	w.trouble, w.calm = trouble{}, time.Now()
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.heal()
	}
}

// wishFor tells a wish as the relay does, until a server holds the model.
func (n *worldNode) wishFor(need string) bool {
	for began := time.Now(); time.Since(began) < recoverTime; time.Sleep(250 * time.Millisecond) {
		if !n.awake() {
			return false
		}
		if n.serves(need) {
			return true
		}
	}
	return false
}

// recover sees that each node gets a model that no server holds.
func (w *world) recover() {
	for i, n := range w.nodes {
		need := fmt.Sprintf("m%d", 20+i)
		if !n.wishFor(need) {
			w.t.Errorf("%s got no server for %s within %v after the faults", n.name, need, recoverTime)
		}
	}
}

// nodeOf returns the node of a holder, which is one of its lives: to the platform, all of
// them are one holder.
func nodeOf(holder string) string {
	node, _, _ := strings.Cut(holder, "/")
	return node
}

// judge looks at all orders that reached servers in time: no two holders share a
// fence or take turns too soon, and loads keep to the ceiling. The engines have
// judged memory and adapters' places. Orders of holders that go on without the store,
// whose servers refuse lower fences, take no turns and don't count for the ceiling, as in
// the users' rules; that such a holder really was without it is judged as they are given.
func (w *world) judge() {
	holders := make(map[uint64]string)
	last := make(map[string]given)
	var loads []time.Time
	for _, g := range w.orders {
		if other, used := holders[g.order.Fence]; used && other != g.order.Holder {
			w.t.Errorf("%s and %s gave orders with the fence %d", other, g.order.Holder, g.order.Fence)
		}
		holders[g.order.Fence] = g.order.Holder
		before, known := last[g.server]
		if known && !g.order.Offline && !before.order.Offline && nodeOf(before.order.Holder) != nodeOf(g.order.Holder) && g.at.Sub(before.at) < turns {
			w.t.Errorf("%s got orders of %s and, %v later, of %s", g.server, before.order.Holder, g.at.Sub(before.at), g.order.Holder)
		}
		last[g.server] = g
		if g.result == Accepted && g.order.Load && g.order.Need.Adapter == "" && !g.order.Offline {
			loads = append(loads, g.at)
		}
	}
	most := int(w.loadRate*window.Seconds()*1.1) + 3
	for i := range loads {
		if i >= most && loads[i].Sub(loads[i-most]) < window {
			w.t.Errorf("%d loads began within %v", most+1, loads[i].Sub(loads[i-most]))
		}
	}
}
