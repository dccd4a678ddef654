package lab

import "time"

// meter counts accelerator hours. A model that holds a share of an accelerator's memory counts as
// that share of the accelerator, so that models side by side on one accelerator add up to one.
type meter struct {
	acceleratorBytes []float64 // by service
	loaded           float64   // accelerator seconds
	idle             float64
	closed           bool // no more hours are counted
	idleByHour       []float64
	loadedByHour     []float64
}

// newMeter returns a meter with all counts at zero.
func newMeter(scenario *Scenario) *meter {
	m := &meter{}
	for _, service := range scenario.Services {
		m.acceleratorBytes = append(m.acceleratorBytes, service.AcceleratorGigabytes*gigabyte)
	}
	hours := int((scenario.Duration + time.Hour - 1) / time.Hour)
	m.idleByHour = make([]float64, hours)
	m.loadedByHour = make([]float64, hours)
	return m
}

// record counts a model of a number of bytes that was held from one time to another. Idle time is all time without a
// running request, loading and unloading included.
func (m *meter) record(bytes uint64, service int, from, to time.Duration, idle bool) {
	if m.closed {
		return
	}
	share := float64(bytes) / m.acceleratorBytes[service]
	for from < to {
		hour := int(from / time.Hour)
		until := min(to, time.Duration(hour+1)*time.Hour)
		seconds := share * (until - from).Seconds()
		from = until
		if hour >= len(m.idleByHour) {
			return
		}
		m.loaded += seconds
		m.loadedByHour[hour] += seconds
		if idle {
			m.idle += seconds
			m.idleByHour[hour] += seconds
		}
	}
}
