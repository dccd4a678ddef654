package lab

import (
	"math/rand/v2"
	"time"
)

// Length of a silence, and the share of silences that all engines of a service have at once.
const (
	minSilence         = 500 * time.Millisecond
	maxSilence         = 2 * time.Second
	serviceSilentShare = 0.25
)

// silenceEngines makes a random engine, or all of its service, generate nothing for a while.
func (sim *simulation) silenceEngines(random *rand.Rand) {
	e := sim.pickLive(random)
	if e == nil {
		return
	}
	length := minSilence + time.Duration(random.Int64N(int64(maxSilence-minSilence)))
	silent := []*emulatedEngine{e}
	if random.Float64() < serviceSilentShare {
		silent = sim.serviceEngines(e.service)
	}
	sim.countFault(FaultsSilent)
	for _, e := range silent {
		e.fallSilent(length)
	}
}

// fallSilent makes an engine generate nothing for a while. It takes orders and requests, and breaks nothing off.
func (e *emulatedEngine) fallSilent(length time.Duration) {
	if !e.alive || e.silent {
		return
	}
	e.setSilent(true)
	instance := e.instance
	e.sim.clock.after(length, func() {
		if e.alive && e.instance == instance {
			e.setSilent(false)
		}
	})
}

// setSilent stops the batches or lets them go on.
func (e *emulatedEngine) setSilent(silent bool) {
	e.silent = silent
	for _, it := range e.items {
		if it != nil && it.model.base < 0 && it.batch != nil {
			it.batch.setPaused(silent)
		}
	}
	if silent {
		return
	}
	unspoken := e.unspoken
	e.unspoken = nil
	for _, do := range unspoken {
		do()
	}
}

// whenSound calls do now, or once the engine is no longer silent.
func (e *emulatedEngine) whenSound(do func()) {
	if e.silent {
		e.unspoken = append(e.unspoken, do)
		return
	}
	do()
}
