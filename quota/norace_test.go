//go:build !race

package quota

import "time"

// _floodTime is the length of the part of a schedule in which failures happen.
const _floodTime = 10 * time.Second
