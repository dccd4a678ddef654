package lab

import (
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
)

// callFailure describes how a call from a process to an engine or to the platform failed.
type callFailure int

// Kinds of call failures.
const (
	callNotDelivered   callFailure = iota + 1 // the call was certainly not carried out
	callOutcomeUnknown                        // the call may have been carried out
)

// Timeouts of calls.
const (
	connectTimeout = time.Second
	answerTimeout  = 2 * time.Second
)

// platformZone stands for the platform, which is reachable from every zone.
const platformZone = -1

// engineError returns the error of a failed call to an engine.
func (f callFailure) engineError() error {
	if f == callNotDelivered {
		return errors.WithStack(engine.ErrUnreachable)
	}
	return errors.WithStack(engine.ErrUnknownOutcome)
}

// platformError returns the error of a failed call to the platform.
func (f callFailure) platformError() error {
	if f == callNotDelivered {
		return errors.WithStack(platform.ErrUnavailable)
	}
	return errors.WithStack(platform.ErrUnknownOutcome)
}

// call runs execute at another party after a one-way delay. execute returns what the process does
// with the answer, and false if the call was refused without effect. Exactly one of answer and
// failed is called, unless the process dies.
func (p *process) call(zone int, delay func() time.Duration, execute func() (answer func(), ok bool), failed func(callFailure)) {
	sim := p.plane.sim
	if zone != platformZone && !sim.network.reaches(p.node.zone, zone) {
		p.schedule(connectTimeout, func() { failed(callNotDelivered) })
		return
	}
	sim.clock.after(delay(), func() {
		answer, ok := execute()
		switch {
		case !ok:
			p.schedule(delay(), func() { failed(callNotDelivered) })
		case zone != platformZone && !sim.network.reaches(p.node.zone, zone), zone == platformZone && p.plane.platform.dropsAnswer():
			p.schedule(answerTimeout, func() { failed(callOutcomeUnknown) })
		default:
			p.schedule(delay(), answer)
		}
	})
}

// callEngine calls an engine. A frozen engine carries the call out when it resumes, after the
// process has timed out.
func (p *process) callEngine(e *emulatedEngine, execute func() control.Event, failed func(callFailure) control.Event) {
	delay := func() time.Duration { return p.plane.sim.network.delay(p.node.zone, e.zone) }
	fail := func(failure callFailure) { p.step(failed(failure)) }
	p.call(e.zone, delay, func() (func(), bool) {
		if !e.alive {
			return nil, false
		}
		if e.frozen {
			e.handle(func() { execute() })
			return func() { p.schedule(answerTimeout, func() { fail(callOutcomeUnknown) }) }, true
		}
		event := execute()
		return func() { p.step(event) }, true
	}, fail)
}

// orderEngine sends an order to an engine.
func (p *process) orderEngine(e control.OrderEngine) {
	target := p.plane.engines[e.Server]
	if target == nil {
		p.schedule(0, func() {
			p.step(control.OrderAnswered{Server: e.Server, Order: e.Order, Err: callNotDelivered.engineError()})
		})
		return
	}
	p.callEngine(target, func() control.Event {
		return control.OrderAnswered{Server: e.Server, Order: e.Order, Result: target.order(e.Order)}
	}, func(failure callFailure) control.Event {
		return control.OrderAnswered{Server: e.Server, Order: e.Order, Err: failure.engineError()}
	})
}

// readInventory raises the fence of an engine and reads its inventory.
func (p *process) readInventory(e control.ReadInventory) {
	target := p.plane.engines[e.Server]
	if target == nil {
		p.schedule(0, func() {
			p.step(control.InventoryAnswered{Server: e.Server, Request: e.Request, Err: callNotDelivered.engineError()})
		})
		return
	}
	p.callEngine(target, func() control.Event {
		return control.InventoryAnswered{Server: e.Server, Request: e.Request, Inventory: target.inventory(e.Request)}
	}, func(failure callFailure) control.Event {
		return control.InventoryAnswered{Server: e.Server, Request: e.Request, Err: failure.engineError()}
	})
}

// listMachines reads the platform's list of machines.
func (p *process) listMachines() {
	p.call(platformZone, p.plane.platform.delay, func() (func(), bool) {
		list := p.plane.platform.laggingList()
		return func() { p.step(control.MachinesListed{List: list}) }, true
	}, func(failure callFailure) {
		p.step(control.MachinesListed{Err: failure.platformError()})
	})
}

// readRecord reads a record of the table service.
func (p *process) readRecord(e control.ReadRecord) {
	p.call(platformZone, p.plane.platform.delay, func() (func(), bool) {
		if p.plane.platform.down {
			return nil, false
		}
		record, err := p.plane.platform.get(e.Key)
		return func() { p.step(control.RecordRead{Key: e.Key, Record: record, Err: err}) }, true
	}, func(failure callFailure) {
		p.step(control.RecordRead{Key: e.Key, Err: failure.platformError()})
	})
}

// commitRecord commits a transaction to the table service.
func (p *process) commitRecord(e control.CommitRecord) {
	p.call(platformZone, p.plane.platform.delay, func() (func(), bool) {
		if p.plane.platform.down {
			return nil, false
		}
		err := p.plane.platform.commit(e.Transaction)
		return func() { p.step(control.RecordCommitted{Transaction: e.Transaction, Err: err}) }, true
	}, func(failure callFailure) {
		p.step(control.RecordCommitted{Transaction: e.Transaction, Err: failure.platformError()})
	})
}
