package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/tree"
)

// pollInterval is how often the state of nodes is looked at.
const pollInterval = 20 * time.Millisecond

const (
	wakePause = 200 * time.Millisecond // between two wakes that are measured
	loadPause = 10 * time.Millisecond  // between two loads before the measurement
)

// Run makes a site, measures it and ends it.
func Run(ctx context.Context, config Config) (Report, error) {
	config = config.withDefaults()
	before := memoryInUse()
	s, err := newSite(ctx, config)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	r := &runner{site: s, report: newReport(config)}
	if err := r.run(ctx, before); err != nil {
		return r.report, err
	}
	return r.report, nil
}

// runner goes through the phases of a run.
type runner struct {
	site   *site
	report Report
}

func (r *runner) run(ctx context.Context, memoryBefore uint64) error {
	phases := []struct {
		name string
		do   func(context.Context) error
		rest time.Duration // until the reports of demand have ended
	}{
		{"form", r.form, 0},
		{"load", r.load, 2 * demandInterval},
		{"quiet", r.quiet, 0},
		{"wakes", r.wakes, 2 * demandInterval},
		{"edits", r.edits, 0},
		{"deaths", r.deaths, 0},
		{"takeovers", r.takeovers, 0},
	}
	for _, phase := range phases {
		began := time.Now()
		err := phase.do(ctx)
		if err == nil {
			err = r.settle(ctx, phase.rest)
		}
		if err != nil {
			return errors.WithMessagef(err, "scale: %d nodes: %s", r.site.config.Nodes, phase.name)
		}
		fmt.Fprintf(r.site.config.Progress, "%d nodes: %s took %.1f s\n", r.site.config.Nodes, phase.name, time.Since(began).Seconds())
		if phase.name == "quiet" {
			r.report.MemoryBytes = (memoryInUse() - memoryBefore) / uint64(r.site.config.Nodes)
		}
	}
	return nil
}

// await looks until reached or the patience ends, and returns how long it took.
func (r *runner) await(ctx context.Context, what string, reached func() bool) (time.Duration, error) {
	began := time.Now()
	for !reached() {
		if time.Since(began) > r.site.config.Patience {
			return 0, errors.Errorf("%s not reached within %v", what, r.site.config.Patience)
		}
		select {
		case <-ctx.Done():
			return 0, errors.WithStack(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return time.Since(began), nil
}

// measure returns the usage while do runs.
func (r *runner) measure(do func() error) (Usage, error) {
	before, err := r.site.read()
	if err != nil {
		return Usage{}, err
	}
	if err := do(); err != nil {
		return Usage{}, err
	}
	after, err := r.site.read()
	return usageBetween(before, after, len(r.site.nodes)), err
}

// form starts the nodes and waits until all know each other, the tree is in
// force and each cell has an owner.
func (r *runner) form(ctx context.Context) error {
	if err := r.site.addNodes(ctx); err != nil {
		return err
	}
	took, err := r.await(ctx, "agreement of all nodes", func() bool { return r.allKnow(len(r.site.nodes)) })
	r.report.FormSeconds = took.Seconds()
	return err
}

// allKnow tells whether all nodes see a number of live nodes and an owner in
// each cell of their region.
func (r *runner) allKnow(live int) bool {
	return !slices.ContainsFunc(r.site.nodes, func(n *hollowNode) bool {
		complete := false
		n.inspect(func(machine *control.Machine) {
			status := machine.Status()
			complete = countLive(status) == live && len(status.Cells) == r.site.config.Services &&
				!slices.ContainsFunc(status.Cells, func(c control.CellStatus) bool { return c.Term == 0 })
		})
		return !complete
	})
}

func countLive(status control.Status) int {
	live := 0
	for _, member := range status.Members {
		if member.State == membership.StateAlive {
			live++
		}
	}
	return live
}

// target is a model to be woken in a region.
type target struct {
	model  treeModel
	region string
}

// targets returns models to be woken, all of the hot or of the cold family,
// dealt over the regions.
func (s *site) targets(hot bool, count int) []target {
	var chosen []target
	for index := 0; len(chosen) < count; index++ {
		before := len(chosen)
		for _, model := range s.models() {
			if model.hot == hot && len(chosen) < count {
				region, _ := s.place(len(chosen) + index)
				chosen = append(chosen, target{model: model, region: region})
			}
		}
		if len(chosen) == before {
			break
		}
	}
	return chosen
}

// nodeIn returns a random node of a region.
func (s *site) nodeIn(region string) *hollowNode {
	for {
		node := s.nodes[s.random.IntN(len(s.nodes))]
		if node.self.Region == region {
			return node
		}
	}
}

// wake lets requests for the targets arrive and returns the times until each
// was ready, when all have ended.
func (r *runner) wake(ctx context.Context, targets []target, hold bool, pause time.Duration) ([]time.Duration, error) {
	stopped := make(chan time.Duration, len(targets))
	for _, t := range targets {
		cell := api.MakeCellName(t.model.service, t.region)
		r.site.nodeIn(t.region).wakeModel(t.model.name, cell, hold, stopped)
		time.Sleep(pause)
	}
	var waits []time.Duration
	_, err := r.await(ctx, "end of all wakes", func() bool {
		for len(stopped) > 0 {
			waits = append(waits, <-stopped)
		}
		return len(waits) == len(targets)
	})
	return waits, err
}

// load loads the replicas that stay.
func (r *runner) load(ctx context.Context) error {
	count := r.site.config.ReplicasPerServer * r.site.config.Servers
	hot := r.site.config.Models / hotEvery * r.site.config.Regions
	targets := r.site.targets(true, min(count, hot))
	_, err := r.wake(ctx, targets, true, loadPause)
	r.report.Loaded = len(targets)
	return err
}

// settle waits until what a phase began has ended, so that the next one is
// measured alone.
func (r *runner) settle(ctx context.Context, rest time.Duration) error {
	time.Sleep(rest)
	_, err := r.await(ctx, "agreement of all nodes", func() bool { return r.allKnow(len(r.site.nodes)) })
	return err
}

func (r *runner) quiet(context.Context) error {
	var err error
	r.report.Quiet, err = r.measure(func() error {
		time.Sleep(r.site.config.Quiet)
		return nil
	})
	for _, node := range r.site.nodes {
		r.report.Connections += float64(node.transport.Connections()) / float64(len(r.site.nodes))
	}
	return err
}

// wakes wakes idle models, which fall idle again.
func (r *runner) wakes(ctx context.Context) error {
	var err error
	r.report.Wakes, err = r.measure(func() error {
		waits, err := r.wake(ctx, r.site.targets(false, r.site.config.Wakes), false, wakePause)
		if err != nil {
			return err
		}
		r.report.WakeSeconds = worst(waits)
		_, err = r.await(ctx, "unloading", func() bool { return r.site.loaded() <= r.report.Loaded })
		return err
	})
	return err
}

// loaded counts what the engines hold.
func (s *site) loaded() int {
	count := 0
	for _, e := range s.engines.byAddress {
		e.mutex.Lock()
		count += len(e.items)
		e.mutex.Unlock()
	}
	return count
}

// edits commits changes of the tree, each at a random node.
func (r *runner) edits(ctx context.Context) error {
	models := r.site.models()
	var times []time.Duration
	var err error
	r.report.Edits, err = r.measure(func() error {
		for number := range r.site.config.Edits {
			node := r.site.nodes[r.site.random.IntN(len(r.site.nodes))]
			model := models[r.site.random.IntN(len(models))]
			took, err := r.edit(ctx, node, model, number)
			if err != nil {
				return err
			}
			times = append(times, took)
			time.Sleep(r.site.config.EditPause)
		}
		return nil
	})
	r.report.EditSeconds = worst(times)
	return err
}

// edit commits one change and returns the time from its acceptance until it
// was in force on the last node.
func (r *runner) edit(ctx context.Context, node *hollowNode, model treeModel, number int) (time.Duration, error) {
	revision, err := tree.NewEditor(node.store, node.trees).Commit(ctx, tree.Change{
		ID:     fmt.Sprintf("edit-%d", number),
		Author: "scale",
		At:     time.Now(),
		Edits:  []tree.Edit{{Path: model.path, Key: "priority", Value: fmt.Sprint(number + 1)}},
	})
	if err != nil {
		return 0, errors.WithMessage(err, "edit")
	}
	return r.await(ctx, "edit in force everywhere", func() bool {
		return !slices.ContainsFunc(r.site.nodes, func(n *hollowNode) bool {
			return n.trees.Current().Revision() < revision
		})
	})
}

// deaths kills nodes that own nothing, one by one.
func (r *runner) deaths(ctx context.Context) error {
	var times []time.Duration
	for range min(r.site.config.Deaths, r.site.config.Nodes/4) {
		owners := r.owners()
		victim := slices.IndexFunc(r.site.nodes, func(n *hollowNode) bool { return !owners[n.self.ID] })
		if victim < 0 {
			break
		}
		dead := r.site.kill(victim)
		took, err := r.awaitNoticed(ctx, dead)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	r.report.NoticeSeconds = worst(times)
	return nil
}

// kill ends the node with an index and returns its reference.
func (s *site) kill(index int) api.NodeRef {
	node := s.nodes[index]
	s.nodes = slices.Delete(s.nodes, index, index+1)
	node.kill()
	return node.self
}

// awaitNoticed waits until all nodes see a node as dead.
func (r *runner) awaitNoticed(ctx context.Context, dead api.NodeRef) (time.Duration, error) {
	unaware := slices.Clone(r.site.nodes)
	return r.await(ctx, "notice of a death", func() bool {
		unaware = slices.DeleteFunc(unaware, func(n *hollowNode) bool {
			aware := false
			n.inspect(func(machine *control.Machine) {
				aware = slices.ContainsFunc(machine.Status().Members, func(m membership.Member) bool {
					return m.Ref == dead && m.State == membership.StateDead
				})
			})
			return aware
		})
		return len(unaware) == 0
	})
}

// owners returns the nodes that own cells.
func (r *runner) owners() map[api.NodeID]bool {
	owners := make(map[api.NodeID]bool)
	for _, node := range r.site.nodes {
		node.inspect(func(machine *control.Machine) {
			for _, cell := range machine.Status().Cells {
				if cell.Role == control.RoleOwner {
					owners[node.self.ID] = true
				}
			}
		})
	}
	return owners
}

// takeovers kills owners, one by one, and waits until all nodes of the region
// have a view of the next owner for each of its cells.
func (r *runner) takeovers(ctx context.Context) error {
	var owned, known []time.Duration
	for range min(r.site.config.Takeovers, r.site.config.Nodes/4) {
		owners := r.owners()
		victim := slices.IndexFunc(r.site.nodes, func(n *hollowNode) bool { return owners[n.self.ID] })
		if victim < 0 {
			break
		}
		dead := r.site.kill(victim)
		began := time.Now()
		if _, err := r.await(ctx, "next owner", func() bool { return r.ownedAgain(dead) }); err != nil {
			return err
		}
		owned = append(owned, time.Since(began))
		if _, err := r.await(ctx, "views of the next owner", func() bool { return r.ledByOthers(dead) }); err != nil {
			return err
		}
		known = append(known, time.Since(began))
	}
	r.report.TakeoverSeconds = worst(owned)
	r.report.TakeoverKnownSeconds = worst(known)
	return nil
}

// ownedAgain tells whether each cell in the region of a dead node has an owner
// among the running nodes.
func (r *runner) ownedAgain(dead api.NodeRef) bool {
	owned := make(map[api.CellName]bool)
	for _, node := range r.site.nodes {
		if node.self.Region != dead.Region {
			continue
		}
		node.inspect(func(machine *control.Machine) {
			for _, cell := range machine.Status().Cells {
				owned[cell.Cell] = owned[cell.Cell] || cell.Role == control.RoleOwner
			}
		})
	}
	for _, isOwned := range owned {
		if !isOwned {
			return false
		}
	}
	return true
}

// ledByOthers tells whether no view in the region names a dead leader.
func (r *runner) ledByOthers(dead api.NodeRef) bool {
	return !slices.ContainsFunc(r.site.nodes, func(n *hollowNode) bool {
		led := false
		n.inspect(func(machine *control.Machine) {
			led = slices.ContainsFunc(machine.Status().Cells, func(c control.CellStatus) bool {
				return c.Leader == dead
			})
		})
		return led
	})
}

func worst(times []time.Duration) float64 {
	longest := time.Duration(0)
	for _, t := range times {
		longest = max(longest, t)
	}
	return longest.Seconds()
}
