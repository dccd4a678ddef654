package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// readSlept returns for how long the machine was suspended since it booted: the difference between
// the clock that includes suspension and the one that does not. If the thread is descheduled
// between the two readings, the result is too small, never too large, so the largest of a few
// readings is the best.
func readSlept() (time.Duration, error) {
	const readings = 3
	longest := time.Duration(0)
	for range readings {
		var boot, monotonic unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
			return 0, err
		}
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
			return 0, err
		}
		longest = max(longest, time.Duration(boot.Nano()-monotonic.Nano()))
	}
	return longest, nil
}
