package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed is the time since the machine started, counting the time during
// which it or this process stood still. Leases and evidence that must expire
// whatever happens are measured by it; time.Now leaves such pauses out.
func Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: no clock of elapsed time: " + err.Error())
	}

	return time.Duration(ts.Nano())
}
