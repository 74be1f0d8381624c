//go:build !race

package quota

import "time"

// _floodTime is the length of the part of a schedule with failures.
const _floodTime = 10 * time.Second
