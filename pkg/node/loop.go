package node

import (
	"context"
	"time"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/tree"
)

// eventBacklog is the maximum number of events that wait for the control loop.
const eventBacklog = 1024

// loop owns the control machine. Only its goroutine uses the machine.
type loop struct {
	machine     *control.Machine
	view        *view
	trees       *tree.Holder
	events      chan control.Event
	inspections chan func(*control.Machine)
	claimState  *claimState
	execute     func(control.Effect)
	done        chan struct{} // closed when run returns
}

func newLoop(machine *control.Machine, view *view, trees *tree.Holder, claims *claimState) *loop {
	return &loop{
		machine:     machine,
		view:        view,
		trees:       trees,
		claimState:  claims,
		events:      make(chan control.Event, eventBacklog),
		inspections: make(chan func(*control.Machine)),
		done:        make(chan struct{}),
	}
}

// run drives the machine until ctx ends. execute must not block.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		treeChanged := l.trees.Changed()
		current := l.trees.Current()
		l.claimState.adoptTree(current)
		l.apply(l.machine.SetTree(time.Now(), current))
		if !l.serve(ctx, ticker.C, treeChanged) {
			return
		}
	}
}

// serve handles events until the tree changes. It returns false if ctx ended.
func (l *loop) serve(ctx context.Context, ticks <-chan time.Time, treeChanged <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-treeChanged:
			return true
		case <-ticks:
			l.step(control.Tick{})
		case event := <-l.events:
			l.step(event)
		case <-l.view.demandReady:
			l.stepDemand()
		case inspect := <-l.inspections:
			inspect(l.machine)
		}
	}
}

func (l *loop) step(event control.Event) {
	l.apply(l.machine.Step(time.Now(), event))
}

func (l *loop) stepDemand() {
	for _, demand := range l.view.takeDemand() {
		l.step(control.DemandReported{Demand: demand})
	}
}

func (l *loop) apply(effects []control.Effect) {
	for _, effect := range effects {
		l.execute(effect)
	}
}

// deliver queues an event. It blocks while the queue is full, and drops the event if
// ctx ends or the loop stops before.
func (l *loop) deliver(ctx context.Context, event control.Event) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	case <-l.done:
	}
}

// inspect calls read on the loop's goroutine and waits until it returns. It returns
// false if ctx ends or the loop stops before read is called.
func (l *loop) inspect(ctx context.Context, read func(*control.Machine)) bool {
	finished := make(chan struct{})
	inspect := func(machine *control.Machine) {
		defer close(finished)
		read(machine)
	}
	select {
	case l.inspections <- inspect:
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	}
	<-finished
	return true
}
