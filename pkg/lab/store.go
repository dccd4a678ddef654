package lab

import "time"

// weightStore emulates the rate-limited weight store: fetches start at a
// limited rate, urgent ones first, and share its bandwidth beyond the number
// that it serves at full speed.
type weightStore struct {
	clock     *clock
	limits    WeightStore
	transfers sharedRate
	slowdown  float64 // 1 at normal speed; larger divides rate and speed
	urgent    []*fetch
	normal    []*fetch
	nextStart time.Duration
	starting  *event
}

// fetch is a transfer of a checkpoint, waiting or under way.
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

// bytesPerSecond returns the speed of each of several transfers.
func (s *weightStore) bytesPerSecond(transfers int) float64 {
	speed := s.limits.GigabytesPerSecond * gigabyte / s.slowdown
	if transfers > s.limits.FullSpeed {
		speed *= float64(s.limits.FullSpeed) / float64(transfers)
	}
	return speed
}

// setSlowdown divides the store's rate and speed from now on.
func (s *weightStore) setSlowdown(slowdown float64) {
	s.transfers.advance()
	s.slowdown = slowdown
	s.transfers.schedule()
}

// fetch asks for a checkpoint; done is called when it has arrived.
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

// cancel ends a fetch; nil is allowed.
func (s *weightStore) cancel(f *fetch) {
	if f == nil {
		return
	}
	f.cancelled = true
	s.transfers.remove(f.transfer)
}

// start starts the next fetch if the rate allows one, else waits for that.
func (s *weightStore) start() {
	for s.clock.elapsed >= s.nextStart {
		f := s.takeNext()
		if f == nil {
			return
		}
		interval := s.slowdown / s.limits.LoadsPerSecond
		s.nextStart = s.clock.elapsed + time.Duration(interval*float64(time.Second))
		f.transfer = s.transfers.add(float64(f.bytes), f.done)
	}
	if s.starting == nil && len(s.urgent)+len(s.normal) > 0 {
		s.starting = s.clock.at(s.nextStart, func() {
			s.starting = nil
			s.start()
		})
	}
}

// takeNext removes the first waiting fetch that is still wanted, nil if none.
func (s *weightStore) takeNext() *fetch {
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
