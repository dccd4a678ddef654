package lab

import (
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
)

// callFailure is how a call of a process to an engine or the platform failed.
type callFailure int

// The ways in which a call fails.
const (
	callUnreached callFailure = iota + 1 // surely not carried out
	callUnknown                          // perhaps carried out
)

// Times after which a call is given up.
const (
	connectTimeout = time.Second
	answerTimeout  = 2 * time.Second
)

// platformZone stands for the platform, which every zone reaches.
const platformZone = -1

// engineError returns the error of a failed call to an engine.
func (f callFailure) engineError() error {
	if f == callUnreached {
		return errors.WithStack(engine.ErrUnreachable)
	}
	return errors.WithStack(engine.ErrUnknownOutcome)
}

// platformError returns the error of a failed call to the platform.
func (f callFailure) platformError() error {
	if f == callUnreached {
		return errors.WithStack(platform.ErrUnavailable)
	}
	return errors.WithStack(platform.ErrUnknownOutcome)
}

// call carries something out at another party after a one-way delay. Carry
// returns what the process does with the answer, and false if it was refused
// without effect. Exactly one of answer and failed happens, unless the process
// dies.
func (p *process) call(zone int, delay func() time.Duration, carry func() (answer func(), ok bool), failed func(callFailure)) {
	w := p.plane.world
	if zone != platformZone && !w.network.reaches(p.node.zone, zone) {
		p.later(connectTimeout, func() { failed(callUnreached) })
		return
	}
	w.clock.after(delay(), func() {
		answer, ok := carry()
		switch {
		case !ok:
			p.later(delay(), func() { failed(callUnreached) })
		case zone != platformZone && !w.network.reaches(p.node.zone, zone), zone == platformZone && p.plane.platform.losesAnswer():
			p.later(answerTimeout, func() { failed(callUnknown) })
		default:
			p.later(delay(), answer)
		}
	})
}

// callEngine calls an engine. A frozen engine carries the call out when it
// thaws, long after the process gave up.
func (p *process) callEngine(e *emulatedEngine, carry func() control.Event, failed func(callFailure) control.Event) {
	delay := func() time.Duration { return p.plane.world.network.delay(p.node.zone, e.zone) }
	fail := func(failure callFailure) { p.step(failed(failure)) }
	p.call(e.zone, delay, func() (func(), bool) {
		if !e.alive {
			return nil, false
		}
		if e.frozen {
			e.handle(func() { carry() })
			return func() { p.later(answerTimeout, func() { fail(callUnknown) }) }, true
		}
		event := carry()
		return func() { p.step(event) }, true
	}, fail)
}

// orderEngine gives an order to an engine.
func (p *process) orderEngine(e control.OrderEngine) {
	target := p.plane.engines[e.Server]
	if target == nil {
		p.later(0, func() {
			p.step(control.OrderAnswered{Server: e.Server, Order: e.Order, Err: callUnreached.engineError()})
		})
		return
	}
	p.callEngine(target, func() control.Event {
		return control.OrderAnswered{Server: e.Server, Order: e.Order, Result: target.order(e.Order)}
	}, func(failure callFailure) control.Event {
		return control.OrderAnswered{Server: e.Server, Order: e.Order, Err: failure.engineError()}
	})
}

// readInventory fences an engine and reads its inventory.
func (p *process) readInventory(e control.ReadInventory) {
	target := p.plane.engines[e.Server]
	if target == nil {
		p.later(0, func() {
			p.step(control.InventoryAnswered{Server: e.Server, Request: e.Request, Err: callUnreached.engineError()})
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

// commitRecord commits a transaction of the table service.
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
