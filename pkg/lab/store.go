package lab

import "time"

// weightStore emulates the rate-limited weight store. Fetches start at a limited rate, urgent ones
// first; beyond the number that it serves at full speed, transfers share its bandwidth.
type weightStore struct {
	clock      *clock
	limits     WeightStore
	transfers  sharedRate
	slowdown   float64 // divides rate and speed; 1 in normal operation
	urgent     []*fetch
	normal     []*fetch
	nextStart  time.Duration
	startEvent *event
}

// fetch is the transfer of a checkpoint, queued or in progress.
type fetch struct {
	bytes     uint64
	done      func()
	transfer  *job
	cancelled bool
}

// newWeightStore returns an idle store.
func newWeightStore(c *clock, limits WeightStore) *weightStore {
	s := &weightStore{clock: c, limits: limits, slowdown: 1}
	s.transfers = sharedRate{clock: c, rate: s.bytesPerSecond}
	return s
}

// bytesPerSecond returns the speed of each of a number of concurrent transfers.
func (s *weightStore) bytesPerSecond(transfers int) float64 {
	speed := s.limits.GigabytesPerSecond * gigabyte / s.slowdown
	if transfers > s.limits.FullSpeed {
		speed *= float64(s.limits.FullSpeed) / float64(transfers)
	}
	return speed
}

// setSlowdown changes the factor that divides the store's rate and speed.
func (s *weightStore) setSlowdown(slowdown float64) {
	s.transfers.advance()
	s.slowdown = slowdown
	s.transfers.schedule()
}

// fetch queues the transfer of a checkpoint; done is called when it has arrived.
func (s *weightStore) fetch(bytes uint64, urgent bool, done func()) *fetch {
	f := &fetch{bytes: bytes, done: done}
	if urgent {
		s.urgent = append(s.urgent, f)
	} else {
		s.normal = append(s.normal, f)
	}
	s.start()
	return f
}

// cancel cancels a fetch; f may be nil.
func (s *weightStore) cancel(f *fetch) {
	if f == nil {
		return
	}
	f.cancelled = true
	s.transfers.remove(f.transfer)
}

// start starts queued fetches as far as the rate allows, and schedules itself for the rest.
func (s *weightStore) start() {
	for s.clock.elapsed >= s.nextStart {
		f := s.popNext()
		if f == nil {
			return
		}
		interval := s.slowdown / s.limits.LoadsPerSecond
		s.nextStart = s.clock.elapsed + time.Duration(interval*float64(time.Second))
		f.transfer = s.transfers.add(float64(f.bytes), f.done)
	}
	if s.startEvent == nil && len(s.urgent)+len(s.normal) > 0 {
		s.startEvent = s.clock.at(s.nextStart, func() {
			s.startEvent = nil
			s.start()
		})
	}
}

// popNext removes and returns the first queued fetch that is not cancelled, nil if there is none.
func (s *weightStore) popNext() *fetch {
	for _, queue := range []*[]*fetch{&s.urgent, &s.normal} {
		for len(*queue) > 0 {
			first := (*queue)[0]
			*queue = (*queue)[1:]
			if !first.cancelled {
				return first
			}
		}
	}
	return nil
}
